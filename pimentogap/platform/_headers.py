"""The platform's headers on requests and answers."""

from pimentogap.types import BackendAnswer, EngineLoad, RequestNeeds

ATTEMPT_ID = "X-Pimentogap-Attempt-Id"
DEADLINE = "X-Pimentogap-Deadline-Ms"
EXPECTED_BACKEND = "X-Pimentogap-Expect-Replica"
WORKSPACE = "X-Pimentogap-Tenant"
NOT_RUN = "X-Pimentogap-Not-Executed"
LOAD = "X-Pimentogap-Replica-Load"
SEAL = "X-Pimentogap-Replica-Seal"
MODEL = "X-Pimentogap-Model"
CULPRIT = "At-Server"
LAST_EVENT = "Last-Event-Id"
AUTHORIZATION = "Authorization"
SCHEME = "bearer "
MS = 1000

# Headers that concern one connection only, or that the daemon sets itself.
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
    )
)
DROPPED_FROM_ANSWER = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "trailer", "upgrade", "te")
)


class PlatformHeaders:
    """Reads and writes the headers by which the platform's parts talk."""

    __slots__ = ()

    def needs(self, headers):
        """Return the `RequestNeeds` that a request's ``headers`` state."""
        deadline_ms = _number(headers.get(DEADLINE))
        return RequestNeeds(
            attempt_id=self.id_of(headers),
            deadline_s=None if deadline_ms is None else deadline_ms / MS,
            key=_key(headers.get(AUTHORIZATION, "")),
            model=headers.get(MODEL, ""),
            last_event_id=_whole(headers.get(LAST_EVENT)),
        )

    def id_of(self, headers):
        """Return the id of the request that has these ``headers``."""
        return headers.get(ATTEMPT_ID, "")

    def forwarded(self, headers):
        """Return the pairs of a request's ``headers`` that every send carries."""
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

    def of_send(self, *, backend, remaining_s, workspace, last_event_id):
        """Return the pairs that the daemon adds for one send to ``backend``.

        :param remaining_s: how long an answer is of use.
        :param last_event_id: the last event that need not be sent again.
        """
        pairs = [
            (EXPECTED_BACKEND, backend.id),
            (DEADLINE, str(max(1, int(remaining_s * MS)))),
        ]
        if workspace is not None:
            pairs.append((WORKSPACE, workspace))
        if last_event_id is not None:
            pairs.append((LAST_EVENT, str(last_event_id)))
        return pairs

    def answer(self, status, headers):
        """Return the `BackendAnswer` that the head of an answer states."""
        return BackendAnswer(
            status=status,
            attempt_id=headers.get(ATTEMPT_ID),
            sealed=SEAL in headers,
            not_run=NOT_RUN in headers or status == 421,
            load=_load(headers.get(LOAD)),
            retry_after_s=_number(headers.get("Retry-After")),
            culprit=headers.get(CULPRIT),
        )

    def returned(self, headers):
        """Return the pairs of an answer's ``headers`` that the caller gets."""
        return [
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in DROPPED_FROM_ANSWER
        ]

    def of_refusal(self, attempt_id, *, retry_after_s):
        """Return the pairs of an answer that the daemon gives by itself."""
        pairs = [(ATTEMPT_ID, attempt_id)] if attempt_id else []
        if retry_after_s > 0:
            pairs.append(("Retry-After", f"{retry_after_s:.2f}"))
        return pairs


def _key(authorization):
    if authorization[: len(SCHEME)].lower() == SCHEME:
        return authorization[len(SCHEME) :].strip()
    return None


def _load(text):
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return EngineLoad(*(int(part) for part in parts))


def _whole(text):
    text = (text or "").strip()
    return int(text) if text.isdigit() else None


def _number(text):
    try:
        return float(text) if text else None
    except ValueError:
        return None
