"""Service-level objectives and the burn rates of their error budgets."""

from pimentogap.objectives._burn import (
    Burning,
    Window,
    WithinBudget,
    evaluate_burn_rate,
)
from pimentogap.objectives._counts import MINUTE_S, MinuteCounts
from pimentogap.objectives._service import ObjectiveService

__all__ = [
    "MINUTE_S",
    "Burning",
    "MinuteCounts",
    "ObjectiveService",
    "Window",
    "WithinBudget",
    "evaluate_burn_rate",
]
