"""The states that an idempotency key can be in, and their records in the log."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ActionCall:
    """An action as a caller asked for it.

    ``body_digest`` tells two requests under one key apart; ``deadline_in_s``
    is how long the caller waits.
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
        """Return the key within all workspaces and services."""
        return f"{self.workspace}|{self.service}|{self.key}"


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer of a plain service, as the caller gets it.

    ``body`` is ``None`` where it was too large to be kept.
    """

    status: int
    content_type: str
    body: str | None


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is written or being written; nothing was sent."""

    body_digest: str
    claimed_at: float


@dataclass(frozen=True, slots=True)
class Sent:
    """The request is on its way to the service, or was."""

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
    """The log says: this owner may send the action of ``key``."""

    key: str
    body_digest: str
    claimed_at: float
    path: str


@dataclass(frozen=True, slots=True)
class AnswerRecord:
    """The log says: the action of ``key`` ran, with this answer."""

    key: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class ReleaseRecord:
    """The log says: the action of ``key`` was not run and never will be."""

    key: str


@dataclass(frozen=True, slots=True)
class DoubtRecord:
    """The log says: the answer to the action of ``key`` was lost."""

    key: str


@dataclass(frozen=True, slots=True)
class TakeOverRecord:
    """The log says: from here on ``owner`` writes it."""

    owner: str


def dump_record(record):
    """Return ``record`` as plain data."""
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
    """Return the record that `dump_record` gave."""
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
    raise ValueError(f"unknown record {data[:1]}")


class ClaimTable:
    """The state of every key of one shard, oldest claims first."""

    __slots__ = ("states_by_key",)

    def __init__(self):
        self.states_by_key = {}

    def apply(self, record):
        """Bring the state of a key up to ``record``.

        A claim that only the log tells of may have been sent by the owner who
        wrote it, so it stands as in doubt.
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
        """Drop the keys that were claimed before ``before``, oldest first."""
        while self.states_by_key:
            key = next(iter(self.states_by_key))
            if self.states_by_key[key].claimed_at >= before:
                return
            del self.states_by_key[key]
