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
    """The daemon's identity, addresses and stop behaviour.

    On a stop it goes on serving for ``balancer_notice``, in which balancers learn of
    it, and then waits up to ``stop_grace`` for running requests.
    """

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
    """The address and call timeout of the platform's object API."""

    address: str = shaped(Address())
    timeout: float = shaped(Duration(0.01, 30), default=1.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """How the daemons of a fleet discover and authenticate each other.

    ``seeds`` are peer addresses to join by; ``fleet_key`` is the shared secret.
    """

    seeds: tuple = shaped(Listing(Address(), 64), default=())
    fleet_key: str = shaped(Text(r"\S{16,128}", "16 to 128 characters, no blanks"))


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerSettings:
    """Limits on callers' requests."""

    max_body: int = shaped(Size(16 * 2**20), default=2**20)
    max_header: int = shaped(Size(2**20), default=16384)
    default_deadline: float = shaped(Duration(0.1, 3600), default=120.0)
    max_queue: int = shaped(Integer("requests", 1, 100000), default=512)


@dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """The format and lowest level of log lines."""

    format: str = shaped(Choice(("json", "text")), default="json")
    level: str = shaped(
        Choice(("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR")), default="INFO"
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """The contents of a daemon's settings file."""

    daemon: DaemonSettings = shaped(Record(DaemonSettings))
    store: StoreSettings = shaped(Record(StoreSettings))
    peers: PeerSettings = shaped(Record(PeerSettings))
    callers: CallerSettings = shaped(Record(CallerSettings), default=CallerSettings())
    log: LogSettings = shaped(Record(LogSettings), default=LogSettings())


def load_settings(text):
    """Parse and check ``text``, a settings file in YAML.

    :raises InvalidDocument: with every problem, each with its path and line.
    """
    data, lines_by_path = read_yaml(text)
    return check(Settings, data, lines_by_path=lines_by_path)
