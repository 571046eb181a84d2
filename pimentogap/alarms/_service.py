"""The service that reports suspected backend servers to the leader."""

from logbook import Logger

from pimentogap.errors import PeerUnreachable, ResponseLost

log = Logger("alarms")

SUSPECT_CALL = "suspect"
FIRST_REQUEST_CALL = "first_request"
CALL_TIMEOUT_S = 0.5
# A backend server is reported at most once in this time.
MIN_ALARM_INTERVAL_S = 0.5
MAX_REMEMBERED_BACKENDS = 1000


class AlarmService:
    """Reports suspected backend servers to the leader, which alone probes and repairs.

    Each daemon sees only its part of the traffic. With an alarm the leader learns
    of a failure by one call from the daemon that noticed it, instead of by the
    next time-out of its own.
    """

    name = "alarms"
    requires = ("lease", "formation", "calls")
    __slots__ = ("_kernel", "_lease", "_calls", "_last_alarm_at_by_id")

    def __init__(self):
        self._kernel = None
        self._lease = None
        self._calls = None
        self._last_alarm_at_by_id = {}

    async def start(self, kernel):
        """Register the call by which other daemons report alarms."""
        self._kernel = kernel
        self._lease = kernel.get("lease")
        self._calls = kernel.get("calls")
        self._calls.register(SUSPECT_CALL, self._receive_alarm)
        self._calls.register(FIRST_REQUEST_CALL, self._receive_first_request)

    async def stop(self):
        """Do nothing; the kernel cancels the tasks."""

    def suspect(self, backend):
        """Report to the leader that ``backend`` has stopped answering."""
        now = self._kernel.clock.time()
        last_alarm_at = self._last_alarm_at_by_id.get(backend.id, -MIN_ALARM_INTERVAL_S)
        if now - last_alarm_at < MIN_ALARM_INTERVAL_S:
            return
        if len(self._last_alarm_at_by_id) >= MAX_REMEMBERED_BACKENDS:
            self._last_alarm_at_by_id.clear()
        self._last_alarm_at_by_id[backend.id] = now
        if self._lease.is_held():
            self._kernel.get("formation").suspect_backend(backend.id)
        elif self._lease.leader_address:
            body = {"backend": backend.id}
            self._kernel.spawn(self.name, self._call_leader, SUSPECT_CALL, body)

    def report_first_request(self):
        """Tell the leader that callers send requests, which limits loads of weights."""
        if self._lease.is_held():
            self._kernel.get("formation").record_first_request()
        elif self._lease.leader_address:
            self._kernel.spawn(self.name, self._call_leader, FIRST_REQUEST_CALL, {})

    async def _call_leader(self, name, body):
        address = self._lease.leader_address
        try:
            await self._calls.call(address, name, body, timeout_s=CALL_TIMEOUT_S)
        except (PeerUnreachable, ResponseLost) as error:
            log.info("alarm not delivered", leader=address, error=str(error))

    async def _receive_first_request(self, body):
        self._kernel.get("formation").record_first_request()
        return {}

    async def _receive_alarm(self, body):
        """Pass an alarm of another daemon on to formation if this daemon leads."""
        if self._lease.is_held():
            log.info("alarm received", backend=body.get("backend"))
            self._kernel.get("formation").suspect_backend(body.get("backend"))
        return {}
