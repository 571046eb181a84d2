"""Reads the settings file that the platform writes."""

import yaml

from pimentogap.errors import InvalidDocument
from pimentogap.schema import Problem
from pimentogap.settings import FrontSettings

# Beats after whose loss the platform removes the entry of a backend server.
BEATS_UNTIL_REMOVAL = 3
DEFAULT_BEAT_MS = 1200
DEFAULT_MEMORY_MB = 300
DEFAULT_MAX_DESCRIPTORS = 4096


def load_platform_settings(text):
    """Return the `FrontSettings` that the platform's YAML ``text`` describes.

    Unknown fields are ignored, since newer versions of the platform add some.

    :raises InvalidDocument: if a required field is missing or a field is invalid.
    """
    try:
        data = yaml.safe_load(text)
        return _decode(data)
    except yaml.YAMLError as error:
        raise InvalidDocument([Problem("", None, str(error), "a YAML document")])
    except KeyError as error:
        raise InvalidDocument([Problem(str(error.args[0]), None, "missing", "a value")])
    except (TypeError, ValueError, AttributeError) as error:
        raise InvalidDocument([Problem("", None, str(error), "platform settings")])


def _decode(data):
    bounds = data.get("bounds") or {}
    limits = data.get("limits") or {}
    ports = data.get("innerPorts") or [0, 0]
    listen = data["listenAddrs"]
    return FrontSettings(
        id=data["nodeName"],
        availability_zone=data["zone"],
        ip=data["ip"],
        caller_address=listen["front"],
        readiness_address=listen["ready"],
        store_address=data["platformInfo"]["addr"],
        inner_port=int(ports[0]),
        first_start=bool(data.get("bootstrap", False)),
        grace_s=float(bounds.get("graceS", 8)),
        retry_ratio=float(bounds.get("retryBudgetRatio", 0.2)),
        retry_window_s=float(bounds.get("budgetWindowS", 10)),
        retry_slack=float(bounds.get("retryBudgetSlack", 0)),
        react_s=float(bounds.get("stableWindowMs", 3000)) / 1000,
        entry_lifetime_s=BEATS_UNTIL_REMOVAL
        * float(data.get("beatIntervalMs") or DEFAULT_BEAT_MS)
        / 1000,
        drain_s=float(bounds.get("drainMs", 2000)) / 1000,
        load_window_s=float(bounds.get("ceilingWindowS", 5)),
        # The share of a core that runs as fast as this many cores.
        cores=float(limits.get("cpuShare") or 1) * float(limits.get("cpuCores") or 1),
        link_mbps=float(limits.get("linkMbps") or 1000),
        memory_mb=float(limits.get("memoryMb") or DEFAULT_MEMORY_MB),
        max_descriptors=int(limits.get("maxFds") or DEFAULT_MAX_DESCRIPTORS),
        cold_overrun=float(bounds.get("coldOverrun") or 1.0),
        cold_slack=float(bounds.get("coldSlack") or 0.0),
        evacuation_s=float(bounds.get("evacuateMs") or 0) / 1000,
        scarce_room="pressure" in (data.get("contracts") or ()),
    )
