"""The service by which the leader removes daemons that ended without a stop."""

from logbook import Logger

from pimentogap.errors import PeerUnreachable, ResponseLost
from pimentogap.kernel import RestartOnError
from pimentogap.store import Delete

log = Logger("directory.departures")

ALIVE_CALL = "alive"
SECOND_OPINION_CALL = "is_alive"
SUSPECT_CALL = "daemon_suspect"
PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 1.0
# A daemon is removed after it has failed to answer for this long: a VM that freezes or
# restarts is back before.
SILENCE_S = 10.0
# Daemons that are asked whether they reach the silent one before it is removed.
SECOND_OPINIONS = 3
WRITE_RETRY_LIMIT_S = 1.0


class DepartureService:
    """Removes the objects of daemons that nobody reaches any more.

    The leader pings one daemon each `PING_INTERVAL_S`, those that others report first,
    then all in turn. A daemon that is silent to the leader for `SILENCE_S`, and that
    no other daemon reaches, is removed. One that was removed by mistake registers
    again.
    """

    name = "departures"
    requires = ("store", "daemons", "calls", "lease")
    __slots__ = (
        "_id",
        "_kernel",
        "_store",
        "_daemons",
        "_calls",
        "_lease",
        "_silent_since_by_id",
        "_last_pinged_id",
    )

    def __init__(self, daemon_id):
        self._id = daemon_id
        self._kernel = None
        self._store = None
        self._daemons = None
        self._calls = None
        self._lease = None
        self._silent_since_by_id = {}
        self._last_pinged_id = ""

    async def start(self, kernel):
        """Register the calls of other daemons and start the leader's task."""
        self._kernel = kernel
        self._store = kernel.get("store")
        self._daemons = kernel.get("daemons")
        self._calls = kernel.get("calls")
        self._lease = kernel.get("lease")
        self._calls.register(ALIVE_CALL, self._answer_alive)
        self._calls.register(SECOND_OPINION_CALL, self._answer_second_opinion)
        self._calls.register(SUSPECT_CALL, self._receive_suspicion)
        kernel.spawn(self.name, self._watch, on_error=RestartOnError())

    async def stop(self):
        """Do nothing; the kernel ends the task."""

    def suspect(self, address):
        """Tell the leader that the daemon at ``address`` has failed to answer."""
        if self._lease.is_held():
            self._note_suspicion(address)
        elif self._lease.leader_address not in ("", address):
            self._kernel.spawn(self.name, self._report, address)

    async def _report(self, address):
        body = {"address": address}
        try:
            await self._calls.call(
                self._lease.leader_address,
                SUSPECT_CALL,
                body,
                timeout_s=PING_TIMEOUT_S,
            )
        except (PeerUnreachable, ResponseLost) as error:
            log.debug("suspicion not delivered", daemon=address, error=str(error))

    async def _receive_suspicion(self, body):
        if self._lease.is_held():
            self._note_suspicion(body.get("address"))
        return {}

    def _note_suspicion(self, address):
        now = self._kernel.clock.time()
        for id_, known_address in self._daemons.addresses_by_id.items():
            if known_address == address and id_ != self._id:
                self._silent_since_by_id.setdefault(id_, now)

    async def _answer_alive(self, body):
        return {"id": self._id}

    async def _answer_second_opinion(self, body):
        return {"alive": await self._is_alive(body.get("id"), body.get("address"))}

    async def _watch(self):
        while True:
            await self._kernel.clock.sleep(PING_INTERVAL_S)
            if not self._lease.is_held():
                self._silent_since_by_id.clear()
                continue
            listed = self._daemons.addresses_by_id
            for id_ in self._silent_since_by_id.keys() - listed.keys():
                del self._silent_since_by_id[id_]
            id_ = self._next_id(listed)
            if id_ is not None:
                await self._check(id_, listed[id_])
            for id_ in [*self._silent_since_by_id]:
                if id_ in listed:
                    await self._check(id_, listed[id_])

    def _next_id(self, listed):
        """Return the id after the last pinged one, in the order of ids."""
        ids = sorted(listed.keys() - {self._id} - self._silent_since_by_id.keys())
        later = [id_ for id_ in ids if id_ > self._last_pinged_id]
        chosen = (later or ids or [None])[0]
        self._last_pinged_id = chosen or ""
        return chosen

    async def _check(self, id_, address):
        now = self._kernel.clock.time()
        if await self._is_alive(id_, address):
            self._silent_since_by_id.pop(id_, None)
            return
        silent_since = self._silent_since_by_id.setdefault(id_, now)
        if now - silent_since < SILENCE_S or not self._lease.is_held():
            return
        if await self._is_reached_by_others(id_, address):
            log.info("silent daemon kept, since others reach it", daemon=id_)
            self._silent_since_by_id[id_] = now
            return
        await self._remove(id_, silent_s=now - silent_since)

    async def _is_alive(self, id_, address):
        """Return whether the daemon ``id_`` answers at ``address``."""
        try:
            answer = await self._calls.call(
                address, ALIVE_CALL, {}, timeout_s=PING_TIMEOUT_S
            )
        except (PeerUnreachable, ResponseLost) as error:
            log.debug("daemon does not answer", daemon=id_, error=str(error))
            return False
        return answer.get("id") == id_

    async def _is_reached_by_others(self, id_, address):
        listed = self._daemons.addresses_by_id
        others = sorted(listed.keys() - {self._id} - self._silent_since_by_id.keys())
        count = min(SECOND_OPINIONS, len(others))
        for other in self._kernel.random.sample(others, count):
            body = {"id": id_, "address": address}
            try:
                answer = await self._calls.call(
                    listed[other],
                    SECOND_OPINION_CALL,
                    body,
                    timeout_s=3 * PING_TIMEOUT_S,
                )
            except (PeerUnreachable, ResponseLost) as error:
                log.debug("no second opinion", daemon=other, error=str(error))
                continue
            if answer.get("alive"):
                return True
        return False

    async def _remove(self, id_, *, silent_s):
        version = self._daemons.version_of(id_)
        if not version or not self._lease.is_held():
            return
        call = Delete(self._daemons.collection, id_, version)
        outcome = await self._store.write(call, retry_for_s=WRITE_RETRY_LIMIT_S)
        self._silent_since_by_id.pop(id_, None)
        log.notice(
            "silent daemon removed",
            daemon=id_,
            silent_s=round(silent_s, 1),
            outcome=type(outcome).__name__,
        )
