"""The service that keeps the limits on requests that backend servers name."""

from logbook import Logger

from pimentogap.errors import PeerUnreachable, ResponseLost
from pimentogap.kernel import RestartOnError
from pimentogap.metrics import Series
from pimentogap.permits._book import OWNER_COOLDOWN_S, PermitBook
from pimentogap.permits._bucket import PermitIssuer
from pimentogap.permits._bulletin import LimitBulletin
from pimentogap.permits._known import KnownLimits, read_limit
from pimentogap.permits._owners import OwnerLists, owner_address
from pimentogap.permits._pace import ColdBound, decode_pace, named_pace, slower
from pimentogap.permits._types import Denied, Granted

log = Logger("permits")

PERMIT_CALL = "permits"
PERMIT_TIMEOUT_S = 0.2
PRUNE_INTERVAL_S = 10.0
# Spreads the returns of daemons that found no permit.
RETURN_SPREAD = 0.3
GRANTED = Granted()


class PermitService:
    """Sends a backend server that is limited no more requests than it takes.

    A server is limited if it names a limit, or while it is cold and its service has a
    rate for that.

    For each such server one daemon, its owner, gives out permits at the rate of the
    limit, and every other daemon asks it before it sends a request. A daemon that
    cannot reach the owner has an even share of the limit. What an answer says of a
    limit is in force at once; the leader's list tells the other daemons.
    """

    name = "permits"
    requires = (
        "calls",
        "daemons",
        "directory",
        "lease",
        "metrics",
        "relay",
        "serving_configuration",
        "store",
    )
    __slots__ = (
        "_kernel",
        "_daemons",
        "_directory",
        "_configuration",
        "_cold_bound",
        "_known",
        "_issuer",
        "_bulletin",
        "_owner_lists",
        "_books_by_id",
    )

    def __init__(self, *, cold_overrun, cold_slack):
        """Say what a cold server bears beyond its rate, as `ColdBound` has it."""
        self._kernel = None
        self._configuration = None
        self._cold_bound = ColdBound(cold_overrun, cold_slack)
        self._daemons = None
        self._directory = None
        self._known = KnownLimits()
        self._issuer = PermitIssuer()
        self._bulletin = None
        self._owner_lists = OwnerLists()
        self._books_by_id = {}

    async def start(self, kernel):
        """Follow the leader's list, and answer the calls of other daemons."""
        self._kernel = kernel
        self._daemons = kernel.get("daemons")
        self._directory = kernel.get("directory")
        self._configuration = kernel.get("serving_configuration")
        self._bulletin = LimitBulletin(kernel, self._apply)
        kernel.get("calls").register(PERMIT_CALL, self._answer_permits)
        for task in (
            self._bulletin.send_reports,
            self._bulletin.write_lists,
            self._prune_unlisted,
        ):
            kernel.spawn(self.name, task, on_error=RestartOnError())

    async def stop(self):
        """Do nothing; the kernel ends the tasks."""

    def is_limited(self, backend):
        """Return whether ``backend`` takes no more than a limited rate."""
        return self._pace(backend) is not None

    def _pace(self, backend):
        """Return the `Pace` of ``backend``, ``None`` if it is not limited."""
        pace = None
        named_per_s = self._known.per_s(backend)
        if named_per_s is not None:
            pace = named_pace(backend.incarnation, named_per_s)
        if self._directory.cold_left_s(backend):
            pace = slower(pace, self._cold_pace(backend))
        return pace

    def _cold_pace(self, backend):
        configuration = self._configuration.current
        services = configuration.services_by_name if configuration else {}
        service = services.get(backend.service)
        if service is None or not service.cold_per_s:
            return None
        return self._cold_bound.pace(backend.incarnation, service.cold_per_s)

    def next_in_s(self, backend):
        """Return the seconds for which it is known that no permit is to be had."""
        if not self.is_limited(backend):
            return 0.0
        book = self._books_by_id.get(backend.id)
        if book is None:
            return 0.0
        return max(0.0, book.denied_until - self._kernel.clock.time())

    async def acquire(self, backend):
        """Return `Granted` or `Denied` for a request that is to be sent now."""
        pace = self._pace(backend)
        if pace is None:
            return GRANTED
        book = self._book(backend)
        book.waiting += 1
        try:
            async with book.lock:
                verdict = await self._acquire_limited(backend, book)
        finally:
            book.waiting -= 1
        outcome = "granted" if verdict is GRANTED else "denied"
        series = Series("permits", backend.service, "-", f"{pace.reason}_{outcome}")
        self._kernel.get("metrics").count(series)
        return verdict

    def give_back(self, backend):
        """Return a permit of a request that was not sent after all."""
        if self.is_limited(backend):
            self._book(backend).put_back(self._kernel.clock.boot_time())

    def _book(self, backend):
        book = self._books_by_id.get(backend.id)
        if book is None:
            now = self._kernel.clock.time()
            book = PermitBook(now, self._kernel.random.random())
            self._books_by_id[backend.id] = book
        return book

    async def _acquire_limited(self, backend, book):
        clock = self._kernel.clock
        pace = self._pace(backend)
        if pace is None or book.take(clock.boot_time()):
            return GRANTED
        now = clock.time()
        if now < book.denied_until:
            return Denied(book.denied_until - now)
        asked_at = clock.boot_time()
        answer = await self._ask_owner(backend.id, pace, book)
        if answer is None:
            share_per_s = pace.shared_per_s / self._daemons.count
            next_in_s = book.take_own_share(
                share_per_s, clock.time(), pace.share_life_s
            )
            if next_in_s <= 0:
                return GRANTED
        else:
            permits, next_in_s = answer
            book.add(permits, asked_at)
            if book.take(clock.boot_time()):
                return GRANTED
            next_in_s *= self._kernel.random.uniform(1.0, 1.0 + RETURN_SPREAD)
        book.denied_until = clock.time() + next_in_s
        return Denied(next_in_s)

    async def _ask_owner(self, backend_id, pace, book):
        """Return permits and the seconds until the next, or ``None`` without an owner.

        :param pace: the `Pace` of the backend server.
        """
        clock = self._kernel.clock
        calls = self._kernel.get("calls")
        address = self._owner(backend_id)
        if address == calls.address:
            return self._issue(backend_id, pace, book.waiting)
        if not address or clock.time() < book.owner_failed_until:
            return None
        body = {
            "backend": backend_id,
            "incarnation": pace.incarnation,
            "per_s": pace.per_s,
            "reason": pace.reason,
            "wanted": book.waiting,
        }
        try:
            answer = await calls.call(
                address, PERMIT_CALL, body, timeout_s=PERMIT_TIMEOUT_S
            )
            return int(answer["permits"]), float(answer["next_in_s"])
        except (
            PeerUnreachable,
            ResponseLost,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            book.owner_failed_until = clock.time() + OWNER_COOLDOWN_S
            log.info(
                "owner of permits not reached",
                backend=backend_id,
                owner=address,
                error=repr(error),
            )
            return None

    def _owner(self, backend_id):
        return owner_address(backend_id, self._daemons.addresses_by_id.values())

    def _issue(self, backend_id, pace, wanted):
        """Return permits and the seconds until the next, as their owner.

        :return: ``None`` while another daemon may give out permits as well for a server
            that is cold.
        """
        now = self._kernel.clock.time()
        own_address = self._kernel.get("calls").address
        self._owner_lists.update(self._daemons.addresses_by_id.values(), now)
        if pace.reason == "cold" and not self._owner_lists.is_settled(
            backend_id, own_address, now
        ):
            return None
        return self._issuer.issue(backend_id, pace, wanted, now)

    async def _answer_permits(self, body):
        """Give out permits; nothing if another daemon owns the backend server.

        Two daemons whose lists of daemons differ would otherwise both give them out.
        """
        try:
            backend_id = str(body["backend"])
            pace = decode_pace(body)
            wanted = max(1, int(body["wanted"]))
        except (KeyError, TypeError, ValueError) as error:
            log.warning("call for permits not readable", error=repr(error))
            return {}
        if self._owner(backend_id) != self._kernel.get("calls").address:
            return {}
        backend = self._directory.backends_by_id.get(backend_id)
        if backend is not None:
            pace = self._pace_to_issue(backend, pace)
        issued = self._issue(backend_id, pace, wanted)
        if issued is None:
            return {}
        permits, next_in_s = issued
        return {"permits": permits, "next_in_s": next_in_s}

    def _pace_to_issue(self, backend, asked):
        """Return the `Pace` of ``backend``, of which a daemon has ``asked`` another.

        That daemon may not know yet of the limit that is in force, or know better that
        the server is cold.
        """
        known = self._pace(backend)
        if known is None or asked.reason == "cold":
            return slower(known, asked)
        return known

    def record_answer(self, backend, limit):
        """Record what an answer of ``backend`` says of its limit.

        :param limit: a `NoLimit`, `NamedLimit` or `UnreadableLimit`.
        """
        named = read_limit(backend, limit)
        if named is None:
            log.warning("limit not readable", backend=backend.id, limit=limit.text)
            return
        self.report_limit(backend, named)

    def report_limit(self, backend, limit):
        """Put a `BackendLimit` in force here, and tell the leader of it."""
        self._apply(backend.id, limit)
        self._bulletin.report(backend.id, limit)

    def _apply(self, backend_id, limit):
        if self._known.put(backend_id, limit):
            per_s = limit.per_s if limit is not None else None
            log.notice("limit named", backend=backend_id, per_s=per_s)
            gauge = Series("limited_backends", "-", "-")
            self._kernel.get("metrics").set_gauge(gauge, len(self._known))

    async def _prune_unlisted(self):
        while True:
            await self._kernel.clock.sleep(PRUNE_INTERVAL_S)
            listed = self._directory.backends_by_id.keys()
            listed |= self._directory.absent_by_id.keys()
            self._issuer.forget(listed.__contains__)
            for id_ in self._books_by_id.keys() - listed:
                if not self._books_by_id[id_].waiting:
                    del self._books_by_id[id_]
            self._known.forget(listed.__contains__)
