"""The report on service-level burn."""

from pimentogap.report._collect import FleetReport, ObjectiveReport, merge
from pimentogap.report._render import render_page, render_text

__all__ = ["FleetReport", "ObjectiveReport", "merge", "render_page", "render_text"]
