"""Translates the platform's documents, headers and API; makes no decisions."""

from pimentogap.platform._backends import decode_backend
from pimentogap.platform._configuration import decode_configuration
from pimentogap.platform._documents import read_document
from pimentogap.platform._engines import HttpEngines
from pimentogap.platform._headers import PlatformHeaders
from pimentogap.platform._objects import ObjectTransport
from pimentogap.platform._places import describe_place
from pimentogap.platform._settings import load_platform_settings

BACKEND_COLLECTION = "servers"
CONFIGURATION_COLLECTION = "config"
CONFIGURATION_NAME = "main"
EVACUATION_COLLECTION = "evacuations"
SETTINGS_VARIABLE = "PIMENTOGAP_CONFIG"

__all__ = [
    "BACKEND_COLLECTION",
    "CONFIGURATION_COLLECTION",
    "CONFIGURATION_NAME",
    "EVACUATION_COLLECTION",
    "SETTINGS_VARIABLE",
    "HttpEngines",
    "ObjectTransport",
    "PlatformHeaders",
    "decode_backend",
    "decode_configuration",
    "describe_place",
    "load_platform_settings",
    "read_document",
]
