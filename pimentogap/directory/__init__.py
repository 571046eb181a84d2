"""What the platform's store says: the configuration and the backend servers."""

from pimentogap.directory._configuration import ServingConfigurationService
from pimentogap.directory._follow import Followed, follow
from pimentogap.directory._groups import GroupView, groups_of
from pimentogap.directory._service import DirectoryService

__all__ = [
    "DirectoryService",
    "Followed",
    "GroupView",
    "ServingConfigurationService",
    "follow",
    "groups_of",
]
