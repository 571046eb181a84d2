"""The states of an idempotency key, and the log records that change them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ActionCall:
    """A caller's request for an action.

    ``body_digest`` distinguishes different requests under one key;
    ``deadline_in_s`` is how many seconds the caller waits.
    """

    workspace: str
    service: str
    key: str
    path: str
    method: str
    content_type: str
    body: str
    body_digest: str
    deadline_in_s: float

    @property
    def claim_key(self):
        """Return the key made unique across workspaces and services."""
        return f"{self.workspace}|{self.service}|{self.key}"


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer of a plain service, as the caller gets it.

    ``body`` is ``None`` if it was too large to be stored.
    """

    status: int
    content_type: str
    body: str | None


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is being written or was written, and nothing has been sent yet."""

    body_digest: str
    claimed_at: float


@dataclass(frozen=True, slots=True)
class Sent:
    """The request is being sent to the service, and no answer has come yet."""

    body_digest: str
    claimed_at: float


@dataclass(frozen=True, slots=True)
class Answered:
    """The service answered; the action ran."""

    body_digest: str
    claimed_at: float
    answer: Answer


@dataclass(frozen=True, slots=True)
class InDoubt:
    """The action was or may have been sent, and no answer is known."""

    body_digest: str
    claimed_at: float
    path: str


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Log record: the shard's owner may send the action of ``key``."""

    key: str
    body_digest: str
    claimed_at: float
    path: str


@dataclass(frozen=True, slots=True)
class AnswerRecord:
    """Log record: the action of ``key`` ran, with this answer."""

    key: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class ReleaseRecord:
    """Log record: the action of ``key`` did not run and never will."""

    key: str


@dataclass(frozen=True, slots=True)
class DoubtRecord:
    """Log record: the answer to the action of ``key`` was lost."""

    key: str


@dataclass(frozen=True, slots=True)
class TakeOverRecord:
    """Log record: ``owner`` is the only writer from here on."""

    owner: str


def dump_record(record):
    """Return ``record`` as a JSON-compatible list."""
    match record:
        case ClaimRecord(key, digest, claimed_at, path):
            return ["claim", key, digest, claimed_at, path]
        case AnswerRecord(key, Answer(status, content_type, body)):
            return ["answer", key, status, content_type, body]
        case ReleaseRecord(key):
            return ["release", key]
        case DoubtRecord(key):
            return ["doubt", key]
        case TakeOverRecord(owner):
            return ["owner", owner]


def load_record(data):
    """Return the record that `dump_record` turned into ``data``.

    :raises ValueError: if the kind of record is unknown.
    """
    match data:
        case ["claim", key, digest, claimed_at, path]:
            return ClaimRecord(key, digest, claimed_at, path)
        case ["answer", key, status, content_type, body]:
            return AnswerRecord(key, Answer(status, content_type, body))
        case ["release", key]:
            return ReleaseRecord(key)
        case ["doubt", key]:
            return DoubtRecord(key)
        case ["owner", owner]:
            return TakeOverRecord(owner)
    raise ValueError(f"unknown kind of log record: {data[:1]}")


class ClaimTable:
    """The state of every key of one shard, oldest claims first."""

    __slots__ = ("states_by_key",)

    def __init__(self):
        self.states_by_key = {}

    def apply(self, record):
        """Update the state of a key by ``record``.

        A claim that is read from the log may have been sent by the owner that
        wrote it, so its key is in doubt until a later record decides it.
        """
        states = self.states_by_key
        match record:
            case ClaimRecord(key, digest, claimed_at, path):
                states[key] = InDoubt(digest, claimed_at, path)
            case AnswerRecord(key, answer) if key in states:
                state = states[key]
                states[key] = Answered(state.body_digest, state.claimed_at, answer)
            case ReleaseRecord(key):
                states.pop(key, None)

    def expire(self, before):
        """Remove the keys that were claimed before ``before``, in wall time."""
        while self.states_by_key:
            key = next(iter(self.states_by_key))
            if self.states_by_key[key].claimed_at >= before:
                return
            del self.states_by_key[key]
