"""An in-process emulator of the platform: its store, its replicas and its network."""

from standins.emulator._documents import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    configuration_document,
    default_routes,
    settings_document,
)
from standins.emulator._fleet import EmulatedFleet, Request
from standins.emulator._network import EmulatedNetwork, LocalCallTransport
from standins.emulator._plain import PlainReplica
from standins.emulator._records import Records
from standins.emulator._replicas import ModelReplica
from standins.emulator._store import ObjectStore

__all__ = [
    "MODEL_SERVICE",
    "PLAIN_SERVICE",
    "EmulatedFleet",
    "EmulatedNetwork",
    "LocalCallTransport",
    "ModelReplica",
    "ObjectStore",
    "PlainReplica",
    "Records",
    "Request",
    "configuration_document",
    "default_routes",
    "settings_document",
]
