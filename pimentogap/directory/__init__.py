"""The serving configuration, backend servers and daemons listed in the store."""

from pimentogap.directory._configuration import ServingConfigurationService
from pimentogap.directory._daemons import DaemonsService
from pimentogap.directory._departures import DepartureService
from pimentogap.directory._groups import (
    GroupView,
    build_group_views,
    group_name,
    model_of,
)
from pimentogap.directory._service import DirectoryService

__all__ = [
    "DaemonsService",
    "DepartureService",
    "DirectoryService",
    "GroupView",
    "ServingConfigurationService",
    "build_group_views",
    "group_name",
    "model_of",
]
