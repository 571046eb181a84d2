"""What the platform's store says: the configuration and the backend servers."""

from pimentogap.directory._configuration import ServingConfigurationService
from pimentogap.directory._daemons import DaemonCountService
from pimentogap.directory._follow import Followed, follow
from pimentogap.directory._groups import (
    MODEL_SEPARATOR,
    GroupView,
    group_name,
    groups_of,
)
from pimentogap.directory._service import DirectoryService

__all__ = [
    "MODEL_SEPARATOR",
    "DaemonCountService",
    "DirectoryService",
    "Followed",
    "GroupView",
    "ServingConfigurationService",
    "follow",
    "group_name",
    "groups_of",
]
