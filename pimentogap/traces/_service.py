"""Traces of recent requests, in bounded memory."""

from collections import OrderedDict

MAX_TRACES = 2000
MAX_NOTES_PER_TRACE = 32


class Trace:
    """The events of one request, in their order, as notes.

    ``began_at`` is in seconds of the runtime's clock. Notes beyond
    ``MAX_NOTES_PER_TRACE`` are dropped.
    """

    __slots__ = ("request_id", "workspace", "service", "began_at", "notes", "_clock")

    def __init__(self, clock, request_id, workspace, service):
        self.request_id = request_id
        self.workspace = workspace
        self.service = service
        self.began_at = clock.time()
        self.notes = []
        self._clock = clock

    def add_note(self, what, detail=""):
        """Add a `Note` of the event ``what``, at the present time."""
        if len(self.notes) < MAX_NOTES_PER_TRACE:
            after_s = self._clock.time() - self.began_at
            self.notes.append(Note(round(after_s, 4), what, detail))

    def note_candidates(self, chosen, candidates):
        """Add a note of the choice of a backend server.

        :param chosen: the id of the chosen backend server.
        :param candidates: the backend servers compared, with the cost of each.
        """
        compared = ", ".join(
            f"{c.server_id} (cost {c.cost_s:g} s, load {c.load}, "
            f"{c.cached_blocks} blocks cached)"
            for c in candidates
        )
        self.add_note(f"chose {chosen}", f"of {compared}")


class Note:
    """An event of a request, ``after_s`` seconds after the request began."""

    __slots__ = ("after_s", "what", "detail")

    def __init__(self, after_s, what, detail):
        self.after_s = after_s
        self.what = what
        self.detail = detail


class TraceService:
    """Keeps the traces of the newest requests by request id."""

    name = "traces"
    requires = ()
    __slots__ = ("_kernel", "_traces_by_id")

    def __init__(self):
        self._kernel = None
        self._traces_by_id = OrderedDict()

    async def start(self, kernel):
        """Keep ``kernel`` for its clock."""
        self._kernel = kernel

    async def stop(self):
        """Do nothing; traces are kept in memory only."""

    def start_trace(self, request_id, *, workspace, service):
        """Return the `Trace` of a new request; drop the oldest if there are many."""
        trace = Trace(self._kernel.clock, request_id, workspace, service)
        self._traces_by_id[request_id] = trace
        while len(self._traces_by_id) > MAX_TRACES:
            self._traces_by_id.popitem(last=False)
        return trace

    def get(self, request_id):
        """Return the `Trace` of a request, or ``None`` if it is not kept."""
        return self._traces_by_id.get(request_id)
