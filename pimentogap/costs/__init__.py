"""Estimates how long a model group takes to begin an answer."""

from pimentogap.costs._correction import Correction
from pimentogap.costs._group import GroupCost

__all__ = ["Correction", "GroupCost"]
