"""The settings of a daemon."""

from dataclasses import dataclass

from pimentogap.schema import (
    Address,
    Choice,
    Duration,
    Integer,
    Listing,
    Record,
    Size,
    Text,
    check,
    name_shape,
    shaped,
)
from pimentogap.schema.yaml_text import read_yaml


@dataclass(frozen=True, slots=True, kw_only=True)
class DaemonSettings:
    """Who the daemon is and where it listens."""

    id: str = shaped(name_shape())
    region: str = shaped(name_shape())
    availability_zone: str = shaped(name_shape())
    caller_address: str = shaped(Address())
    operator_address: str = shaped(Address())
    peer_address: str = shaped(Address())
    stop_grace: float = shaped(Duration(0, 3600), default=30.0)
    balancer_notice: float = shaped(Duration(0, 60), default=1.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreSettings:
    """Where the platform's object API answers."""

    address: str = shaped(Address())
    timeout: float = shaped(Duration(0.01, 30), default=1.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """How the daemons of a fleet find and trust each other."""

    seeds: tuple = shaped(Listing(Address(), 64), default=())
    fleet_key: str = shaped(Text(r"\S{16,128}", "16 to 128 characters, no blanks"))


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerSettings:
    """Bounds on what callers send."""

    max_body: int = shaped(Size(16 * 2**20), default=2**20)
    max_header: int = shaped(Size(2**20), default=16384)
    default_deadline: float = shaped(Duration(0.1, 3600), default=120.0)
    max_queue: int = shaped(Integer("requests", 1, 100000), default=512)


@dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """What is logged and in which form."""

    format: str = shaped(Choice(("json", "text")), default="json")
    level: str = shaped(
        Choice(("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR")), default="INFO"
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Everything that a daemon reads from its settings file."""

    daemon: DaemonSettings = shaped(Record(DaemonSettings))
    store: StoreSettings = shaped(Record(StoreSettings))
    peers: PeerSettings = shaped(Record(PeerSettings))
    callers: CallerSettings = shaped(Record(CallerSettings), default=CallerSettings())
    log: LogSettings = shaped(Record(LogSettings), default=LogSettings())


def load_settings(text):
    """Return the `Settings` that YAML ``text`` holds.

    :raises InvalidDocument: with every problem, each with its path and line.
    """
    data, lines_by_path = read_yaml(text)
    return check(Settings, data, lines_by_path=lines_by_path)
