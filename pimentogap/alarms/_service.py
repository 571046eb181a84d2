"""The service that passes suspicions on to the leader."""

from logbook import Logger

from pimentogap.errors import PeerUnreachable, ResponseLost

log = Logger("alarms")

CALL = "suspect"
CALL_TIMEOUT_S = 0.5
# Suspicions of one backend server within this time are one alarm.
REPEAT_INTERVAL_S = 0.5
MAX_REMEMBERED = 1000


class AlarmService:
    """Reports suspicions to the leader, which alone asks and repairs.

    A daemon sees only its own part of the traffic; what any one of them notices
    reaches the leader by one call instead of after its own next time-out.
    """

    name = "alarms"
    requires = ("lease", "formation", "calls")
    __slots__ = ("_kernel", "_lease", "_calls", "_raised_at_by_id")

    def __init__(self):
        self._kernel = None
        self._lease = None
        self._calls = None
        self._raised_at_by_id = {}

    async def start(self, kernel):
        """Begin to accept alarms."""
        self._kernel = kernel
        self._lease = kernel.get("lease")
        self._calls = kernel.get("calls")
        self._calls.register(CALL, self._answer)

    async def stop(self):
        """Do nothing; the kernel ends the tasks."""

    def suspect(self, backend):
        """Tell the leader that ``backend`` has stopped answering."""
        now = self._kernel.clock.time()
        raised_at = self._raised_at_by_id.get(backend.id, -REPEAT_INTERVAL_S)
        if now - raised_at < REPEAT_INTERVAL_S:
            return
        if len(self._raised_at_by_id) >= MAX_REMEMBERED:
            self._raised_at_by_id.clear()
        self._raised_at_by_id[backend.id] = now
        if self._lease.is_held():
            self._kernel.get("formation").alarm(backend.id)
        elif self._lease.leader_address:
            self._kernel.spawn(
                self.name, self._report, backend.id, self._lease.leader_address
            )

    async def _report(self, backend_id, address):
        try:
            await self._calls.call(
                address, CALL, {"backend": backend_id}, timeout_s=CALL_TIMEOUT_S
            )
        except (PeerUnreachable, ResponseLost) as error:
            log.info("alarm not delivered", leader=address, error=str(error))

    async def _answer(self, body):
        """Take an alarm from another daemon."""
        if self._lease.is_held():
            log.info("alarm received", backend=body.get("backend"))
            self._kernel.get("formation").alarm(body.get("backend"))
        return {}
