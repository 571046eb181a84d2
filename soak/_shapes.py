"""The shape of a deployment: its daemons, its replicas and its traffic."""

from dataclasses import dataclass
from pathlib import Path

from pimentogap.schema import (
    Choice,
    Duration,
    Integer,
    Listing,
    Number,
    Record,
    check,
    name_shape,
    shaped,
)
from pimentogap.schema.yaml_text import read_yaml
from standins.emulator._documents import LARGE_MODEL, SMALL_MODEL

SHAPES_FOLDER = Path(__file__).parent / "shapes"
ROUTE_KINDS = ("streaming", "idempotent", "non_idempotent")


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestKind:
    """One kind of request, the route that carries it and how often it comes.

    ``prompt_tokens`` and ``events`` are the means of a stream; ``model`` is empty for a
    plain request. ``first_byte`` and ``max_gap`` are the objectives of an answer in
    time, ``deadline`` is how long the caller waits. Durations are in seconds.
    """

    name: str = shaped(name_shape())
    kind: str = shaped(Choice(ROUTE_KINDS))
    per_s: float = shaped(Number("requests a second", 0.01, 10000))
    first_byte: float = shaped(Duration(0.001, 60))
    timeout: float = shaped(Duration(0.01, 600))
    deadline: float = shaped(Duration(0.01, 600))
    retries: int = shaped(Integer("retries", 0, 10))
    attempts: int = shaped(Integer("attempts", 1, 10))
    model: str = shaped(Choice(("", LARGE_MODEL, SMALL_MODEL)), default="")
    prompt_tokens: int = shaped(Integer("tokens", 1, 100000), default=1)
    events: int = shaped(Integer("events", 1, 10000), default=1)
    max_gap: float = shaped(Duration(0.001, 60), default=0.0)

    @property
    def is_stream(self):
        """Return whether the answer is an event stream."""
        return self.kind == "streaming"


@dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """A deployment of daemons, model replicas and one plain service.

    ``plain_work`` is the mean time of a plain request in seconds. The traffic begins
    ``start_lead`` seconds after the start of the daemons; ``clients`` share it, each
    with connections of its own.
    """

    daemons: int = shaped(Integer("daemons", 1, 100))
    domains: int = shaped(Integer("fabric domains", 1, 100))
    replicas_per_domain: int = shaped(Integer("model replicas", 1, 100))
    plain_replicas: int = shaped(Integer("plain replicas", 1, 100))
    plain_slots: int = shaped(Integer("slots", 1, 1000))
    plain_queue: int = shaped(Integer("requests", 0, 1000))
    plain_work: float = shaped(Duration(0.0, 60))
    start_lead: float = shaped(Duration(0.0, 600))
    clients: int = shaped(Integer("clients", 1, 1000))
    kinds: tuple = shaped(Listing(Record(RequestKind), 20))


def read_shape(name):
    """Return the `Shape` of a file, or of one of `SHAPES_FOLDER` by its name.

    :raises InvalidDocument: if a field is missing or wrong.
    :raises OSError: if the file cannot be read.
    """
    path = Path(name)
    if not path.suffix:
        path = SHAPES_FOLDER / f"{name}.yaml"
    data, lines_by_path = read_yaml(path.read_text(encoding="utf-8"))
    return check(Shape, data, lines_by_path=lines_by_path)
