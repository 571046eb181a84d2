"""The serving configuration, backend servers and daemons listed in the store."""

from pimentogap.directory._configuration import ServingConfigurationService
from pimentogap.directory._daemons import DaemonsService
from pimentogap.directory._departures import DepartureService
from pimentogap.directory._groups import (
    MODEL_SEPARATOR,
    GroupView,
    build_group_views,
    group_name,
)
from pimentogap.directory._service import DirectoryService

__all__ = [
    "MODEL_SEPARATOR",
    "DaemonsService",
    "DepartureService",
    "DirectoryService",
    "GroupView",
    "ServingConfigurationService",
    "build_group_views",
    "group_name",
]
