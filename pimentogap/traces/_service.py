"""What was done for recent requests, in bounded memory."""

from collections import OrderedDict

TRACES_KEPT = 2000
NOTES_KEPT = 32


class Trace:
    """The notes of one request, in the order in which things happened.

    Times are in seconds since the request began.
    """

    __slots__ = ("request_id", "workspace", "service", "began_at", "notes", "_clock")

    def __init__(self, clock, request_id, workspace, service):
        self.request_id = request_id
        self.workspace = workspace
        self.service = service
        self.began_at = clock.time()
        self.notes = []
        self._clock = clock

    def note(self, what, detail=""):
        """Add a note."""
        if len(self.notes) < NOTES_KEPT:
            after_s = self._clock.time() - self.began_at
            self.notes.append(Note(round(after_s, 4), what, detail))

    def considered(self, chosen, candidates):
        """Note which backend servers were compared and which was chosen."""
        shown = ", ".join(
            f"{c.server_id} (cost {c.cost_s:g} s, load {c.load}, "
            f"{c.cached_blocks} blocks cached)"
            for c in candidates
        )
        self.note(f"chose {chosen}", f"of {shown}")


class Note:
    """One thing that happened to a request."""

    __slots__ = ("after_s", "what", "detail")

    def __init__(self, after_s, what, detail):
        self.after_s = after_s
        self.what = what
        self.detail = detail


class TraceService:
    """Keeps the traces of the newest requests by their ids."""

    name = "traces"
    requires = ()
    __slots__ = ("_kernel", "_traces_by_id")

    def __init__(self):
        self._kernel = None
        self._traces_by_id = OrderedDict()

    async def start(self, kernel):
        """Take the clock of ``kernel``."""
        self._kernel = kernel

    async def stop(self):
        """Do nothing."""

    def begin(self, request_id, *, workspace, service):
        """Return the `Trace` of a new request."""
        trace = Trace(self._kernel.clock, request_id, workspace, service)
        self._traces_by_id[request_id] = trace
        while len(self._traces_by_id) > TRACES_KEPT:
            self._traces_by_id.popitem(last=False)
        return trace

    def get(self, request_id):
        """Return the `Trace` of a request, or ``None`` if it is not kept."""
        return self._traces_by_id.get(request_id)
