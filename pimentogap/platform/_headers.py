"""Decodes and encodes the platform's headers of requests and answers."""

import hashlib
import math

from pimentogap.platform._text import decode_field, encode_field
from pimentogap.types import (
    BackendAnswer,
    EngineLoad,
    NamedLimit,
    NoLimit,
    RequestNeeds,
    UnreadableLimit,
    decimal_or_none,
)

ATTEMPT_ID = "X-Pimentogap-Attempt-Id"
DEADLINE = "X-Pimentogap-Deadline-Ms"
EXPECTED_BACKEND = "X-Pimentogap-Expect-Replica"
WORKSPACE = "X-Pimentogap-Tenant"
NOT_RUN = "X-Pimentogap-Not-Executed"
LOAD = "X-Pimentogap-Replica-Load"
SEAL = "X-Pimentogap-Replica-Seal"
MODEL = "X-Pimentogap-Model"
PROMPT_PARTS = "X-Pimentogap-Prompt-Prefix"
FAULTY_SERVER = "At-Server"
LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
COLD_LEFT = "X-Pimentogap-Cold-Ms"
TOKEN_COUNT = "X-Pimentogap-Token-Count"
RETRY_AFTER = "Retry-After"
LAST_EVENT = "Last-Event-Id"
URGENCY = "X-Pimentogap-Urgency-Class"
AUTHORIZATION = "Authorization"
BEARER_PREFIX = "bearer "
MS_PER_S = 1000
MAX_PART_ID_CHARS = 40
MAX_TOKENS = 10**9
MAX_REQUESTS = 10**6
MAX_COLD_MS = 2**40
MAX_LOGGED_LIMIT_CHARS = 40

# Hop-by-hop headers, and headers that the daemon sets itself.
DROPPED_FROM_REQUEST = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authorization",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Expect",
        "Content-Length",
        AUTHORIZATION,
        WORKSPACE,
        DEADLINE,
        EXPECTED_BACKEND,
        LAST_EVENT,
        URGENCY,
    )
)
DROPPED_FROM_ANSWER = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "trailer", "upgrade", "te")
)


class PlatformHeaders:
    """Decodes and encodes the headers that the platform's components exchange."""

    __slots__ = ()

    def needs(self, headers):
        """Return the `RequestNeeds` decoded from a request's ``headers``."""
        deadline_ms = _finite_or_none(headers.get(DEADLINE))
        prompt_tokens, max_answer_tokens = _token_counts(headers.get(TOKEN_COUNT))
        return RequestNeeds(
            attempt_id=self.decode_attempt_id(headers),
            deadline_s=None
            if deadline_ms is None
            else max(0.0, deadline_ms) / MS_PER_S,
            key=_bearer_token(decode_field(headers.get(AUTHORIZATION, ""))),
            model=decode_field(headers.get(MODEL, "")),
            last_event_id=headers.get(LAST_EVENT) or None,
            shared_parts=_shared_parts(headers.get(PROMPT_PARTS)),
            prompt_tokens=prompt_tokens,
            max_answer_tokens=max_answer_tokens,
        )

    def decode_host(self, headers):
        """Return the host that a request is for, with its port if it names one."""
        return decode_field(headers["Host"])

    def decode_attempt_id(self, headers):
        """Return the attempt id in ``headers``, empty if there is none."""
        return headers.get(ATTEMPT_ID, "")

    def forwarded_headers(self, headers):
        """Return the headers of a request that each attempt forwards.

        Left out are hop-by-hop headers, headers that the daemon sets itself, and
        headers that ``Connection`` lists, except the host and the attempt id.

        :return: pairs of name and value.
        """
        dropped = DROPPED_FROM_REQUEST
        listed = headers.get("Connection", "")
        if "," in listed or listed.lower() not in ("", "close", "keep-alive"):
            names = {name.strip().lower() for name in listed.split(",")}
            dropped = dropped | (names - {"host", ATTEMPT_ID.lower()})
        return [
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in dropped
        ]

    def attempt_headers(
        self, *, backend, remaining_s, workspace, last_event_id, urgency=None
    ):
        """Return the headers that the daemon adds to one attempt at ``backend``.

        :param remaining_s: seconds until the request's deadline.
        :param workspace: name of the caller's workspace, or ``None``.
        :param last_event_id: id of the last event that the caller received, or
            ``None``; a resumed stream starts after it.
        :param urgency: the rank, 0 the first, in which the backend server admits
            requests; ``None`` for its default.
        :return: pairs of name and value.
        :raises RequestNotSendable: if a name cannot be sent.
        """
        pairs = [
            (EXPECTED_BACKEND, encode_field(backend.id)),
            (DEADLINE, str(max(1, int(remaining_s * MS_PER_S)))),
        ]
        if workspace is not None:
            pairs.append((WORKSPACE, encode_field(workspace)))
        if last_event_id is not None:
            pairs.append((LAST_EVENT, last_event_id))
        if urgency is not None:
            pairs.append((URGENCY, str(urgency)))
        return pairs

    def decode_answer(self, status, headers):
        """Return the `BackendAnswer` decoded from an answer's status and headers."""
        return BackendAnswer(
            status=status,
            attempt_id=headers.get(ATTEMPT_ID),
            sealed=SEAL in headers,
            # 421, Misdirected Request: the server is not the expected one or does not
            # serve the model.
            not_run=NOT_RUN in headers or status == 421,
            load=_engine_load(headers.get(LOAD)),
            retry_after_s=_seconds(headers.get(RETRY_AFTER)),
            culprit=headers.get(FAULTY_SERVER),
            limit=_limit(headers.get(LIMIT)),
            leaving=headers.get(LEAVING) == "1",
            cold_left_s=_milliseconds(headers.get(COLD_LEFT)),
        )

    def response_headers(self, headers):
        """Return the pairs of an answer's ``headers`` that are passed to the caller."""
        return [
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in DROPPED_FROM_ANSWER
        ]

    def refusal_headers(self, attempt_id, *, retry_after_s):
        """Return the headers of a refusal, an answer that the daemon itself gives.

        :param retry_after_s: seconds; 0 for no ``Retry-After``.
        :return: pairs of name and value.
        """
        pairs = [(ATTEMPT_ID, attempt_id)] if attempt_id else []
        if retry_after_s > 0:
            pairs.append((RETRY_AFTER, f"{retry_after_s:.2f}"))
        return pairs


def _bearer_token(authorization):
    if authorization[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX:
        return authorization[len(BEARER_PREFIX) :].strip()
    return None


def _shared_parts(text):
    """Return the ids in ``ID:TOKENS,ID:TOKENS,...`` but the last, the request's own.

    An id of more than `MAX_PART_ID_CHARS` is represented by a digest.
    """
    entries = (text or "").split(",")[:-1]
    ids = (entry.partition(":")[0].strip().lower() for entry in entries)
    return tuple(dict.fromkeys(_bounded_id(id_) for id_ in ids if id_))


def _bounded_id(id_):
    if len(id_) <= MAX_PART_ID_CHARS:
        return id_
    return hashlib.sha256(id_.encode()).hexdigest()[:MAX_PART_ID_CHARS]


def _engine_load(text):
    numbers = _decimals(text, most=MAX_REQUESTS)
    if len(numbers) != 3 or None in numbers:
        return None
    return EngineLoad(*numbers)


def _token_counts(text):
    """Return the tokens of the prompt and the most of the answer, 0 where unknown."""
    counts = _decimals(text, most=MAX_TOKENS)
    if len(counts) != 2 or None in counts:
        return 0, 0
    return tuple(counts)


def _decimals(text, *, most):
    parts = (text or "").split(",")
    return [decimal_or_none(part.strip(), most=most) for part in parts]


def _milliseconds(text):
    """Return the seconds that a number of milliseconds is, ``None`` if unreadable."""
    milliseconds = decimal_or_none((text or "").strip(), most=MAX_COLD_MS)
    return None if milliseconds is None else milliseconds / MS_PER_S


def _seconds(text):
    """Return seconds, ``None`` if there is no text, NaN if it is no number."""
    if text is None:
        return None
    seconds = _float_or_none(text)
    return math.nan if seconds is None else seconds


def _limit(text):
    if text is None:
        return NoLimit()
    per_s = _float_or_none(text)
    if per_s is None or not math.isfinite(per_s) or per_s < 0:
        return UnreadableLimit(text[:MAX_LOGGED_LIMIT_CHARS])
    return NamedLimit(per_s)


def _finite_or_none(text):
    number = _float_or_none(text)
    return number if number is not None and math.isfinite(number) else None


def _float_or_none(text):
    try:
        return float(text) if text else None
    except ValueError:
        return None
