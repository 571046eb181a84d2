"""The service that keeps sessions with other daemons and floods them with updates."""

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

# Also how long a probe of an unreachable daemon lasts while that one answers.
PING_INTERVAL_S = 0.5
# Also the age up to which a revision counts as confirmed for removing records.
SESSION_TIMEOUT_S = 2.0
RECONNECT_DELAY_S = 0.5
SUSPECT_DURATION_S = 2.0
# Also the time that a stopping daemon gives its sessions to send its last record.
MAINTENANCE_INTERVAL_S = 0.25
PROBE_INTERVAL_S = 2.0
DEAD_RETENTION_S = 6 * 3600.0
MAX_TICKETS_PER_REPLY = 200


class PeerService:
    """Runs one task for each neighbour and floods new entries to all sessions.

    As in SWIM, a neighbour whose session fails is suspect, which is flooded. Each
    daemon for itself declares a suspect dead that does not refute the suspicion
    within ``SUSPECT_DURATION_S``.
    """

    name = "peers"
    requires = ("configuration",)
    __slots__ = (
        "table",
        "objects_by_name",
        "_kernel",
        "_transport",
        "_seeds",
        "_sessions",
        "_tasks_by_member_id",
        "_suspected_at_by_id",
        "_dead_at_by_id",
        "_next_ping",
        "_object_subscribers",
        "_leaving_subscribers",
        "_call_handlers_by_service",
        "_source_session",
        "_poll",
    )

    def __init__(self, daemon, transport, *, seeds, incarnation):
        """Describe the daemon to its fleet.

        :param daemon: the `pimentogap.settings.DaemonSettings`.
        :param transport: opens and accepts sessions, such as a `GrpcTransport`.
        :param seeds: addresses of daemons through which to join the fleet.
        :param incarnation: a number that grows with each start of the daemon.
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
        self._tasks_by_member_id = {}
        self._suspected_at_by_id = {}
        self._dead_at_by_id = {}
        self._next_ping = 0
        self._object_subscribers = []
        self._leaving_subscribers = []
        self._call_handlers_by_service = {}
        self._source_session = None
        self._poll = None

    async def start(self, kernel):
        """Listen, join the fleet and start the background tasks."""
        self._kernel = kernel
        self._poll = FleetPoll(kernel, self.table, self._transport)
        self._call_handlers_by_service.update(self._poll.handlers_by_service())
        configuration = kernel.get("configuration")
        configuration.subscribe(self._configuration_changed)
        self._update_own_record(applied=True)
        await self._transport.listen(
            self.table.own.peer_address, self._accept_session, self._answer_call
        )
        for seed in self._seeds:
            kernel.spawn(self.name, self._join_through, seed, on_error=RestartOnError())
        kernel.spawn(self.name, self._maintain, on_error=RestartOnError())
        kernel.spawn(self.name, self._probe_unreachable, on_error=RestartOnError())
        kernel.spawn(self.name, self._poll.run, on_error=RestartOnError())

    async def stop(self):
        """Announce that the daemon leaves, give sessions time to send it, and close."""
        self._update_own_record(status=MemberStatus.LEFT)
        await self._kernel.clock.sleep(MAINTENANCE_INTERVAL_S)
        await self._transport.close()

    def announce_stopping(self):
        """Announce to the fleet that this daemon accepts no new work."""
        self._update_own_record(status=MemberStatus.STOPPING)

    def reach(self):
        """Return the `Reach` according to gossip."""
        return self.table.reach()

    def polled_reach(self):
        """Return the `Reach` that recent answers to direct calls prove."""
        return self._poll.reach()

    async def announce_revision(self, revision):
        """Announce to all daemons that ``revision`` is about to be written.

        :return: whether more than half of the known daemons, this one included,
            have acknowledged it.
        """
        return await self._poll.announce_revision(revision)

    def is_watcher(self):
        """Return whether this daemon watches the store for its availability zone."""
        return self.table.is_watcher()

    def share_object(self, name, version, body):
        """Keep a shared object and announce it, if its version is newer."""
        current = self.objects_by_name.get(name)
        if current is not None and current.version >= version:
            return
        self.objects_by_name[name] = ObjectSent(name, version, body)
        for callback in self._object_subscribers:
            callback(name, version, body)
        self._flood(ObjectAnnounced(name, version))

    def announce_vm_leaving(self, vm_id, incarnation):
        """Announce to the fleet that the platform lists a VM as leaving."""
        self._flood(VmLeaving(vm_id, incarnation))

    def subscribe_objects(self, callback):
        """Call ``callback(name, version, body)`` for each newer shared object."""
        self._object_subscribers.append(callback)

    def subscribe_vm_leaving(self, callback):
        """Call ``callback(entry)`` for each `VmLeaving`, until one returns true.

        A callback returns whether the entry is new; a new one is flooded.
        """
        self._leaving_subscribers.append(callback)

    def register_call_handler(self, service, handler):
        """Register ``handler(body)`` for calls of other daemons to ``service``."""
        self._call_handlers_by_service[service] = handler

    async def call(self, member_id, service, body, *, timeout_s):
        """Call ``service`` of another daemon with ``body`` and return its answer.

        :raises PeerUnreachable: if nothing was sent.
        :raises ResponseLost: if no answer arrived; the call may have been handled.
        """
        member = self.table.members_by_id.get(member_id)
        if member is None:
            raise PeerUnreachable(f"{member_id} is not known")
        return await self._transport.call(
            member.peer_address, service, body, timeout_s=timeout_s
        )

    async def _join_through(self, seed):
        """Keep a session with a seed open until neighbours are known."""
        while not self._has_neighbours():
            await self._run_outgoing_session(seed, until=self._has_neighbours)
            await self._kernel.clock.sleep(self._jittered(RECONNECT_DELAY_S))

    def _has_neighbours(self):
        return len(self.table.members_by_id) > 1 and bool(self.table.neighbours())

    async def _keep_session(self, member_id):
        """Keep a session with a daemon open for as long as it is a neighbour."""
        try:
            while member_id in self.table.neighbours():
                address = self.table.members_by_id[member_id].peer_address
                await self._run_outgoing_session(
                    address, until=lambda: member_id not in self.table.neighbours()
                )
                if member_id in self.table.neighbours():
                    self._suspect(member_id)
                await self._kernel.clock.sleep(self._jittered(RECONNECT_DELAY_S))
        finally:
            self._tasks_by_member_id.pop(member_id, None)

    async def _run_outgoing_session(self, address, *, until):
        """Open a session to ``address`` and run it until it fails or ``until()``."""
        try:
            async with self._transport.open_session(address) as stream:
                await self._run_session(stream, until=until)
        except PeerRefused:
            log.error("the daemon at {} rejected this daemon's fleet key", address)
        except PeerUnreachable as error:
            log.debug("the session with {} failed: {}", address, error)

    async def _accept_session(self, stream):
        """Run a session that another daemon opened, until it fails."""
        await self._run_session(stream, until=lambda: False)

    async def _run_session(self, stream, *, until):
        """Send all records and object versions, then exchange entries until the end.

        :raises PeerUnreachable: if the session fails.
        """
        session = PeerSession()
        session.post(self._hello())
        for member in self.table.members_by_id.values():
            session.post(member)
        for shared in self.objects_by_name.values():
            session.post(ObjectAnnounced(shared.name, shared.version))
        self._sessions[session] = True
        sender = asyncio.create_task(self._send_entries(stream, session))
        try:
            await self._receive_entries(stream, session, until)
        finally:
            self._sessions.pop(session, None)
            sender.cancel()

    async def _send_entries(self, stream, session):
        """Send posted entries at once, and a ping every ``PING_INTERVAL_S``."""
        while True:
            session.flush_pending()
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
        """Apply received entries; a peer silent for ``SESSION_TIMEOUT_S`` is lost.

        :raises PeerUnreachable: if the session fails or the peer is silent.
        """
        while not until():
            try:
                async with asyncio.timeout(SESSION_TIMEOUT_S):
                    entries = await stream.receive()
            except TimeoutError:
                raise PeerUnreachable(
                    "the peer sent nothing within the session timeout"
                )
            self._source_session = session
            try:
                for entry in entries:
                    self._apply_entry(session, entry)
            finally:
                self._source_session = None

    def _apply_entry(self, session, entry):
        configuration = self._kernel.get("configuration")
        match entry:
            case Hello(id, _, revision):
                session.peer_id = id
                self._observe_revision(session, revision)
            case Ping(number):
                revision = configuration.current.revision
                age_s = configuration.confirmation_age_s()
                session.post(Pong(number, revision, age_s, configuration.newest_heard))
            case Pong():
                self._apply_pong(session, entry)
            case Member():
                session.discard_known(entry)
                self._apply_member(entry)
            case TicketSent(number, body):
                if not configuration.apply_next(load_accepted(body)):
                    self._observe_revision(session, number)
            case TicketsWanted(after):
                self._send_tickets(session, after)
            case SnapshotSent(body):
                self._adopt_snapshot(body)
            case ObjectAnnounced(name, version):
                current = self.objects_by_name.get(name)
                if current is None or current.version < version:
                    session.post(ObjectWanted(name))
            case ObjectWanted(name):
                if name in self.objects_by_name:
                    session.post(self.objects_by_name[name])
            case ObjectSent(name, version, body):
                self.share_object(name, version, body)
            case VmLeaving():
                if any(callback(entry) for callback in self._leaving_subscribers):
                    self._flood(entry)

    def _apply_pong(self, session, pong):
        now = self._kernel.clock.time()
        sent_at = session.pings_sent_by_number.pop(pong.number, None)
        if sent_at is None:
            return
        session.last_pong_at = now
        configuration = self._kernel.get("configuration")
        configuration.confirm(sent_at - pong.confirmed_age_s, pong.revision)
        configuration.record_announced_revision(pong.newest_heard)
        self._observe_revision(session, pong.revision)

    def _observe_revision(self, session, revision):
        """Record that ``revision`` exists and request the tickets that are missing."""
        configuration = self._kernel.get("configuration")
        configuration.record_announced_revision(revision)
        if revision > configuration.current.revision:
            session.post(TicketsWanted(configuration.current.revision))

    def _apply_member(self, record):
        """Merge a received record; refute one about this daemon that is newer."""
        own = self.table.own
        if record.id == own.id:
            if (
                record.precedence() > own.precedence()
                and own.status != MemberStatus.LEFT
            ):
                self._refute(record)
            return
        current = self.table.members_by_id.get(record.id)
        if not self.table.merge(record):
            return
        self._suspected_at_by_id.pop(record.id, None)
        self._dead_at_by_id.pop(record.id, None)
        if record.status == MemberStatus.SUSPECT:
            self._suspected_at_by_id[record.id] = self._kernel.clock.time()
        self._propagate(current, record)

    def _refute(self, record):
        """Publish a record of this daemon that supersedes ``record``."""
        own = self.table.own
        incarnation = own.incarnation
        if record.incarnation > incarnation:
            incarnation = record.incarnation + 1
        self._update_own_record(incarnation=incarnation, sequence=record.sequence + 1)

    def _suspect(self, member_id):
        member = self.table.members_by_id.get(member_id)
        if member is None or member.status >= MemberStatus.SUSPECT:
            return
        log.info("daemon {} is suspect: its session failed", member_id)
        suspect = member.with_status(MemberStatus.SUSPECT)
        self.table.merge(suspect)
        self._suspected_at_by_id[member_id] = self._kernel.clock.time()
        self._flood(suspect)

    def _send_tickets(self, session, after):
        """Post the tickets after ``after``, or a snapshot if some are not kept."""
        configuration = self._kernel.get("configuration")
        revision = configuration.current.revision
        numbers = range(after + 1, min(revision, after + MAX_TICKETS_PER_REPLY) + 1)
        recent = configuration.recent_by_number
        if all(number in recent for number in numbers):
            for number in numbers:
                session.post(TicketSent(number, dump_accepted(recent[number])))
        else:
            session.post(SnapshotSent(configuration.current.dump()))

    def _adopt_snapshot(self, body):
        try:
            self._kernel.get("configuration").adopt(Configuration.load(body))
        except SnapshotDamaged as error:
            log.error("ignored a damaged snapshot of a peer: {}", error)

    def _configuration_changed(self, accepted):
        if accepted is not None:
            self._flood(TicketSent(accepted.number, dump_accepted(accepted)))
        self._update_own_record(applied=True)

    def _update_own_record(
        self, *, status=None, incarnation=None, sequence=None, applied=False
    ):
        """Publish a new record of this daemon, with a raised sequence.

        :param sequence: the lowest number that the new record may have.
        :param applied: whether a revision of the configuration was just applied.
        """
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
        self._propagate(own, record)

    def _propagate(self, previous, record):
        """Send a record to the other sessions.

        It is flooded at once if it is new or its incarnation or status changed, and
        sent with the next pings if not.
        """
        if previous is None or (previous.incarnation, previous.status) != (
            record.incarnation,
            record.status,
        ):
            self._flood(record)
            return
        for session in self._sessions:
            if session is not self._source_session:
                session.post_with_next_ping(record)

    def _flood(self, entry):
        """Post an entry to every session but the one that it came from."""
        for session in self._sessions:
            if session is not self._source_session:
                session.post(entry)

    async def _maintain(self):
        """Start tasks for new neighbours, declare suspects dead, remove old records."""
        while True:
            for member_id in self.table.neighbours():
                if member_id not in self._tasks_by_member_id:
                    self._tasks_by_member_id[member_id] = self._kernel.spawn(
                        self.name, self._keep_session, member_id
                    )
            self._declare_dead()
            self._remove_long_dead()
            await self._kernel.clock.sleep(MAINTENANCE_INTERVAL_S)

    def _declare_dead(self):
        now = self._kernel.clock.time()
        for member_id, since in list(self._suspected_at_by_id.items()):
            if now - since < SUSPECT_DURATION_S:
                continue
            del self._suspected_at_by_id[member_id]
            member = self.table.members_by_id.get(member_id)
            if member is not None and member.status == MemberStatus.SUSPECT:
                log.warning("daemon {} is declared dead", member_id)
                self.table.merge(member.with_status(MemberStatus.DEAD))
                self._dead_at_by_id[member_id] = now

    def _remove_long_dead(self):
        """Remove daemons declared dead here more than ``DEAD_RETENTION_S`` ago.

        A record that was already dead when a peer sent it stays. Nothing is removed
        unless the store confirmed the revision within ``SESSION_TIMEOUT_S``:
        otherwise this daemon may be partitioned, and the others alive.
        """
        now = self._kernel.clock.time()
        if self._kernel.get("configuration").confirmation_age_s() > SESSION_TIMEOUT_S:
            return
        for member_id, since in list(self._dead_at_by_id.items()):
            if now - since > DEAD_RETENTION_S:
                del self._dead_at_by_id[member_id]
                self.table.remove(member_id)

    async def _probe_unreachable(self):
        """Open short sessions to suspect and dead daemons, one at a time at random.

        This joins the halves of a fleet again after a network partition.
        """
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
                await self._run_outgoing_session(
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
