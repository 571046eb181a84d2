"""The report on burn rates of service-level objectives."""

from pimentogap.report._collect import FleetReport, ObjectiveReport, merge
from pimentogap.report._render import render_page, render_text

__all__ = ["FleetReport", "ObjectiveReport", "merge", "render_page", "render_text"]
