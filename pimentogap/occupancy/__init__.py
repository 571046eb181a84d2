"""Tells every daemon how many requests all the others have at each backend server."""

from pimentogap.occupancy._book import Counts, OccupancyBook, Others
from pimentogap.occupancy._service import OccupancyService

__all__ = ["Counts", "OccupancyBook", "OccupancyService", "Others"]
