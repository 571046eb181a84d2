"""The settings of the daemons, as checked data classes."""

from pimentogap.settings._front import FrontSettings
from pimentogap.settings._settings import (
    CallerSettings,
    DaemonSettings,
    LogSettings,
    PeerSettings,
    Settings,
    StoreSettings,
    load_settings,
)

__all__ = [
    "CallerSettings",
    "DaemonSettings",
    "FrontSettings",
    "LogSettings",
    "PeerSettings",
    "Settings",
    "StoreSettings",
    "load_settings",
]
