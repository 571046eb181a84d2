"""The service that keeps sessions with other daemons and passes on what is new."""

import asyncio

from logbook import Logger

from pimentogap.errors import (
    PeerRefused,
    PeerUnreachable,
    SnapshotDamaged,
)
from pimentogap.kernel import RestartOnError
from pimentogap.peers._entries import (
    Hello,
    Member,
    MemberStatus,
    ObjectAnnounced,
    ObjectSent,
    ObjectWanted,
    Ping,
    Pong,
    SnapshotSent,
    TicketSent,
    TicketsWanted,
    VmLeaving,
)
from pimentogap.peers._membership import MemberTable
from pimentogap.peers._polling import FleetPoll
from pimentogap.peers._session import PeerSession
from pimentogap.tickets import (
    Configuration,
    dump_accepted,
    load_accepted,
)

log = Logger("peers")

PING_INTERVAL_S = 0.5
SESSION_TIMEOUT_S = 2.0
RECONNECT_DELAY_S = 0.5
SUSPECT_DURATION_S = 2.0
MAINTENANCE_INTERVAL_S = 0.25
PROBE_INTERVAL_S = 2.0
FORGET_DEAD_S = 6 * 3600.0
MAX_TICKETS_SENT = 200


class PeerService:
    """Keeps one task for each neighbour and floods what is new to all of them."""

    name = "peers"
    requires = ("configuration",)
    __slots__ = (
        "table",
        "objects_by_name",
        "_kernel",
        "_transport",
        "_seeds",
        "_sessions",
        "_tasks_by_peer_id",
        "_suspected_at_by_id",
        "_dead_at_by_id",
        "_next_ping",
        "_object_subscribers",
        "_leaving_subscribers",
        "_call_handlers_by_service",
        "_learning_from",
        "_poll",
    )

    def __init__(self, daemon, transport, *, seeds, incarnation):
        """Describe the daemon to its fleet.

        :param daemon: the `pimentogap.settings.DaemonSettings`.
        :param transport: opens and accepts sessions.
        :param seeds: addresses of daemons to ask first.
        :param incarnation: grows with each start of the daemon.
        """
        own = Member(
            id=daemon.id,
            incarnation=incarnation,
            sequence=1,
            status=MemberStatus.ALIVE,
            peer_address=daemon.peer_address,
            region=daemon.region,
            availability_zone=daemon.availability_zone,
        )
        self.table = MemberTable(own)
        self.objects_by_name = {}
        self._kernel = None
        self._transport = transport
        self._seeds = [seed for seed in seeds if seed != daemon.peer_address]
        self._sessions = {}
        self._tasks_by_peer_id = {}
        self._suspected_at_by_id = {}
        self._dead_at_by_id = {}
        self._next_ping = 0
        self._object_subscribers = []
        self._leaving_subscribers = []
        self._call_handlers_by_service = {}
        self._learning_from = None
        self._poll = None

    async def start(self, kernel):
        """Listen, and begin to keep sessions with the neighbours."""
        self._kernel = kernel
        self._poll = FleetPoll(kernel, self.table, self._transport)
        self._call_handlers_by_service.update(self._poll.handlers_by_service())
        configuration = kernel.get("configuration")
        configuration.subscribe(self._configuration_changed)
        self._renew_own(applied=True)
        await self._transport.listen(
            self.table.own.peer_address, self._accept_session, self._answer_call
        )
        for seed in self._seeds:
            kernel.spawn(self.name, self._join_by, seed, on_error=RestartOnError())
        kernel.spawn(self.name, self._maintain, on_error=RestartOnError())
        kernel.spawn(self.name, self._probe_unreachable, on_error=RestartOnError())
        kernel.spawn(self.name, self._poll.run, on_error=RestartOnError())

    async def stop(self):
        """Tell the neighbours that the daemon leaves, and close."""
        self._renew_own(status=MemberStatus.LEFT)
        await self._kernel.clock.sleep(MAINTENANCE_INTERVAL_S)
        await self._transport.close()

    def announce_stopping(self):
        """Tell the fleet that this daemon takes no new work."""
        self._renew_own(status=MemberStatus.STOPPING)

    def reach(self):
        """Return the daemons known and those in reach, as far as gossip tells."""
        return self.table.reach()

    def polled_reach(self):
        """Return the `Reach` that recent direct answers prove."""
        return self._poll.reach()

    async def gather_majority(self, revision):
        """Tell the fleet that ``revision`` is about to be written.

        :return: whether more than half of the known daemons have noted it.
        """
        return await self._poll.gather_majority(revision)

    def is_watcher(self):
        """Return whether this daemon follows the store for its availability zone."""
        return self.table.is_watcher()

    def share_object(self, name, version, body):
        """Hold a shared object and pass it on if it is newer than what is held."""
        held = self.objects_by_name.get(name)
        if held is not None and held.version >= version:
            return
        self.objects_by_name[name] = ObjectSent(name, version, body)
        for callback in self._object_subscribers:
            callback(name, version, body)
        self._flood(ObjectAnnounced(name, version))

    def share_leaving(self, vm_id, incarnation):
        """Tell the fleet that the platform shows a VM as leaving."""
        self._flood(VmLeaving(vm_id, incarnation))

    def subscribe_objects(self, callback):
        """Call ``callback(name, version, body)`` for each newer shared object."""
        self._object_subscribers.append(callback)

    def subscribe_leaving(self, callback):
        """Call ``callback(entry)`` for each `VmLeaving`; it says whether it was new."""
        self._leaving_subscribers.append(callback)

    def answer_calls(self, service, handler):
        """Have ``handler(body)`` answer the calls of other daemons to ``service``."""
        self._call_handlers_by_service[service] = handler

    async def call(self, member_id, service, body, *, timeout_s):
        """Have another daemon answer ``body`` by its ``service``.

        :raises PeerUnreachable: if nothing was sent.
        :raises ResponseLost: if no answer came.
        """
        member = self.table.members_by_id.get(member_id)
        if member is None:
            raise PeerUnreachable(f"{member_id} is not known")
        return await self._transport.call(
            member.peer_address, service, body, timeout_s=timeout_s
        )

    async def _join_by(self, seed):
        """Exchange state with a seed until neighbours are known, then leave it."""
        while not self._sessions_known():
            await self._hold_session(seed, until=self._sessions_known)
            await self._kernel.clock.sleep(self._jittered(RECONNECT_DELAY_S))

    def _sessions_known(self):
        return len(self.table.members_by_id) > 1 and bool(self.table.neighbours())

    async def _keep_neighbour(self, member_id):
        """Exchange state with one neighbour for as long as it is one."""
        try:
            while member_id in self.table.neighbours():
                address = self.table.members_by_id[member_id].peer_address
                await self._hold_session(
                    address, until=lambda: member_id not in self.table.neighbours()
                )
                if member_id in self.table.neighbours():
                    self._suspect(member_id)
                await self._kernel.clock.sleep(self._jittered(RECONNECT_DELAY_S))
        finally:
            self._tasks_by_peer_id.pop(member_id, None)

    async def _hold_session(self, address, *, until):
        """Open a session to ``address`` and run it until it fails or ``until()``."""
        try:
            async with self._transport.open_session(address) as stream:
                await self._run_session(stream, until=until)
        except PeerRefused:
            log.error("the daemon at {} refuses this one's fleet key", address)
        except PeerUnreachable as error:
            log.debug("no session with {}: {}", address, error)

    async def _accept_session(self, stream):
        """Run a session that another daemon opened."""
        await self._run_session(stream, until=lambda: False)

    async def _run_session(self, stream, *, until):
        """Greet, then send and receive entries until the session ends."""
        session = PeerSession()
        session.post(self._hello())
        for member in self.table.members_by_id.values():
            session.post(member)
        for held in self.objects_by_name.values():
            session.post(ObjectAnnounced(held.name, held.version))
        self._sessions[session] = True
        sender = asyncio.create_task(self._send_entries(stream, session))
        try:
            await self._receive_entries(stream, session, until)
        finally:
            self._sessions.pop(session, None)
            sender.cancel()

    async def _send_entries(self, stream, session):
        """Send what is posted, and a ping whenever one is due."""
        while True:
            session.take_due()
            session.post(self._ping(session))
            try:
                async with asyncio.timeout(PING_INTERVAL_S):
                    while True:
                        entries, session.outbox = session.outbox, []
                        session.wake.clear()
                        if entries:
                            await stream.send(entries)
                        await session.wake.wait()
            except TimeoutError:
                pass
            except PeerUnreachable:
                return

    async def _receive_entries(self, stream, session, until):
        """Take in what the other side sends; its silence ends the session."""
        while not until():
            try:
                async with asyncio.timeout(SESSION_TIMEOUT_S):
                    entries = await stream.receive()
            except TimeoutError:
                raise PeerUnreachable("no entry within the time limit")
            self._learning_from = session
            try:
                for entry in entries:
                    self._take(session, entry)
            finally:
                self._learning_from = None

    def _take(self, session, entry):
        configuration = self._kernel.get("configuration")
        match entry:
            case Hello(id, _, revision):
                session.peer_id = id
                self._heard_revision(session, revision)
            case Ping(number):
                revision = configuration.current.revision
                age_s = configuration.confirmed_age()
                session.post(Pong(number, revision, age_s, configuration.newest_heard))
            case Pong():
                self._take_pong(session, entry)
            case Member():
                session.heard(entry)
                self._take_member(entry)
            case TicketSent(number, body):
                if not configuration.learn(load_accepted(body)):
                    self._heard_revision(session, number)
            case TicketsWanted(after):
                self._send_tickets(session, after)
            case SnapshotSent(body):
                self._take_snapshot(body)
            case ObjectAnnounced(name, version):
                held = self.objects_by_name.get(name)
                if held is None or held.version < version:
                    session.post(ObjectWanted(name))
            case ObjectWanted(name):
                if name in self.objects_by_name:
                    session.post(self.objects_by_name[name])
            case ObjectSent(name, version, body):
                self.share_object(name, version, body)
            case VmLeaving():
                if any(callback(entry) for callback in self._leaving_subscribers):
                    self._flood(entry)

    def _take_pong(self, session, pong):
        now = self._kernel.clock.time()
        sent_at = session.pings_sent_by_number.pop(pong.number, None)
        if sent_at is None:
            return
        session.last_pong_at = now
        configuration = self._kernel.get("configuration")
        configuration.confirm(sent_at - pong.confirmed_age_s, pong.revision)
        configuration.heard(pong.newest_heard)
        self._heard_revision(session, pong.revision)

    def _heard_revision(self, session, revision):
        configuration = self._kernel.get("configuration")
        configuration.heard(revision)
        if revision > configuration.current.revision:
            session.post(TicketsWanted(configuration.current.revision))

    def _take_member(self, record):
        own = self.table.own
        if record.id == own.id:
            if record.newness() > own.newness() and own.status != MemberStatus.LEFT:
                self._outlive(record)
            return
        held = self.table.members_by_id.get(record.id)
        if not self.table.merge(record):
            return
        self._suspected_at_by_id.pop(record.id, None)
        self._dead_at_by_id.pop(record.id, None)
        if record.status == MemberStatus.SUSPECT:
            self._suspected_at_by_id[record.id] = self._kernel.clock.time()
        self._pass_on(held, record)

    def _outlive(self, record):
        """Refute a record that claims to be newer than this daemon itself."""
        own = self.table.own
        incarnation = own.incarnation
        if record.incarnation > incarnation:
            incarnation = record.incarnation + 1
        self._renew_own(incarnation=incarnation, sequence=record.sequence + 1)

    def _suspect(self, member_id):
        member = self.table.members_by_id.get(member_id)
        if member is None or member.status >= MemberStatus.SUSPECT:
            return
        log.info("daemon {} does not answer", member_id)
        suspect = member.with_status(MemberStatus.SUSPECT)
        self.table.merge(suspect)
        self._suspected_at_by_id[member_id] = self._kernel.clock.time()
        self._flood(suspect)

    def _send_tickets(self, session, after):
        configuration = self._kernel.get("configuration")
        revision = configuration.current.revision
        numbers = range(after + 1, min(revision, after + MAX_TICKETS_SENT) + 1)
        recent = configuration.recent_by_number
        if all(number in recent for number in numbers):
            for number in numbers:
                session.post(TicketSent(number, dump_accepted(recent[number])))
        else:
            session.post(SnapshotSent(configuration.current.dump()))

    def _take_snapshot(self, body):
        try:
            self._kernel.get("configuration").adopt(Configuration.load(body))
        except SnapshotDamaged as error:
            log.error("a peer sent a damaged snapshot: {}", error)

    def _configuration_changed(self, accepted):
        if accepted is not None:
            self._flood(TicketSent(accepted.number, dump_accepted(accepted)))
        self._renew_own(applied=True)

    def _renew_own(
        self, *, status=None, incarnation=None, sequence=None, applied=False
    ):
        own = self.table.own
        configuration = self._kernel.get("configuration")
        record = Member(
            id=own.id,
            incarnation=incarnation or own.incarnation,
            sequence=max(own.sequence + 1, sequence or 0),
            status=own.status if status is None else status,
            peer_address=own.peer_address,
            region=own.region,
            availability_zone=own.availability_zone,
            applied_revision=configuration.current.revision,
            applied_at=self._kernel.clock.wall() if applied else own.applied_at,
        )
        self.table.merge(record)
        self._pass_on(own, record)

    def _pass_on(self, held, record):
        """Flood a record at once if a status changed, else with the next pings."""
        if held is None or (held.incarnation, held.status) != (
            record.incarnation,
            record.status,
        ):
            self._flood(record)
            return
        for session in self._sessions:
            if session is not self._learning_from:
                session.post_with_ping(record)

    def _flood(self, entry):
        for session in self._sessions:
            if session is not self._learning_from:
                session.post(entry)

    async def _maintain(self):
        """Start the tasks of new neighbours and declare silent suspects dead."""
        while True:
            for member_id in self.table.neighbours():
                if member_id not in self._tasks_by_peer_id:
                    self._tasks_by_peer_id[member_id] = self._kernel.spawn(
                        self.name, self._keep_neighbour, member_id
                    )
            self._declare_dead()
            self._forget_dead()
            await self._kernel.clock.sleep(MAINTENANCE_INTERVAL_S)

    def _declare_dead(self):
        now = self._kernel.clock.time()
        for member_id, since in list(self._suspected_at_by_id.items()):
            if now - since < SUSPECT_DURATION_S:
                continue
            del self._suspected_at_by_id[member_id]
            member = self.table.members_by_id.get(member_id)
            if member is not None and member.status == MemberStatus.SUSPECT:
                log.warning("daemon {} is taken for dead", member_id)
                self.table.merge(member.with_status(MemberStatus.DEAD))
                self._dead_at_by_id[member_id] = now

    def _forget_dead(self):
        """Forget daemons that died long ago, but never while possibly cut off."""
        now = self._kernel.clock.time()
        if self._kernel.get("configuration").confirmed_age() > SESSION_TIMEOUT_S:
            return
        for member_id, since in list(self._dead_at_by_id.items()):
            if now - since > FORGET_DEAD_S:
                del self._dead_at_by_id[member_id]
                self.table.forget(member_id)

    async def _probe_unreachable(self):
        """Try the daemons that are taken for dead, one at a time."""
        while True:
            await self._kernel.clock.sleep(self._jittered(PROBE_INTERVAL_S))
            candidates = [
                member
                for member in self.table.members_by_id.values()
                if member.status in (MemberStatus.SUSPECT, MemberStatus.DEAD)
            ]
            if candidates:
                member = self._kernel.random.choice(candidates)
                deadline = self._kernel.clock.time() + PING_INTERVAL_S
                await self._hold_session(
                    member.peer_address,
                    until=lambda: self._kernel.clock.time() >= deadline,  # noqa: B023
                )

    async def _answer_call(self, service, body):
        handler = self._call_handlers_by_service.get(service)
        if handler is None:
            raise PeerUnreachable(f"no service {service} answers calls")
        return await handler(body)

    def _hello(self):
        own = self.table.own
        revision = self._kernel.get("configuration").current.revision
        return Hello(own.id, own.incarnation, revision)

    def _ping(self, session):
        self._next_ping += 1
        session.pings_sent_by_number[self._next_ping] = self._kernel.clock.time()
        return Ping(self._next_ping)

    def _jittered(self, delay_s):
        return delay_s * self._kernel.random.uniform(0.5, 1.0)
