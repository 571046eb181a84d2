"""The service that lists the backend servers and the model groups they form."""

import asyncio
from collections import Counter
from dataclasses import replace

from logbook import Logger

from pimentogap.directory._cold import ColdServers
from pimentogap.directory._copies import CopyGuard, later_view
from pimentogap.directory._groups import build_group_views
from pimentogap.relay import CONTACT_TIMEOUT_S, REREGISTRATION_S
from pimentogap.store import Revision
from pimentogap.types import BackendState, MemberState

log = Logger("directory")

# What a daemon knew holds this long against a copy from which the store came back.
COPY_DOUBT_S = 2.5
# A backend server that cannot reach the store stays a member of its group for this
# long after its entry expired, unless the leader finds out that it is lost.
ABSENCE_LIMIT_S = 12.0
MEMBER_STATES = (MemberState.JOINING, MemberState.READY, MemberState.OPEN)
# A backend server that is known to be gone is not believed to be back for this long
# because a copy of the list has it, unless it writes its entry again. By then the entry
# has expired if nobody writes it.
GHOST_LIMIT_S = 10.0
# A server that took no connection is tried again within this time.
RETURN_DOUBT_S = 8.0
# Unless others confirm that the store was away, a server that is gone gets no requests
# after this share of the time for which it serves on.
UNCONFIRMED_DRAIN_SHARE = 0.5
SEND_MARGIN_S = 0.05
# Ids in the log line of a change that the leader logs in full.
MAX_LOGGED_IDS = 5
MAX_LOGGED_CHARS = 100


class DirectoryService:
    """Lists the backend servers of each service and those that may get requests.

    The entry of a server that is cut off from the store expires while the server
    goes on working. So a member of a group stays in it for up to
    `ABSENCE_LIMIT_S` without an entry, listed in ``absent_by_id``: its head serves
    until the leader has probed the member and closed the group. An absent head
    gets no requests.

    The backend servers of ``excluded_zones`` get no requests.

    A store that went back lists entries as they were before. What this daemon knew is
    newer: it holds until the entry is written again, or for `COPY_DOUBT_S`,
    and a server that is gone stays gone for `GHOST_LIMIT_S`.
    """

    name = "directory"
    requires = ("relay", "serving_configuration")
    __slots__ = (
        "backends_by_id",
        "absent_by_id",
        "groups_by_key",
        "loaded",
        "changed",
        "revision",
        "excluded_zones",
        "_collection",
        "_decode",
        "_kernel",
        "_configuration",
        "_heads_by_service_and_model",
        "_plain_backends_by_service",
        "_available_by_id",
        "_indexed_configuration",
        "_deferred_by_id",
        "_copies",
        "_cold",
        "_max_unconfirmed_s",
    )

    def __init__(self, collection, decode, *, drain_s):
        """Name the collection that holds the entries of backend servers.

        :param collection: the name of the collection.
        :param decode: a function that returns the `Backend` of an entry's name and
            value, or ``None`` if the entry is invalid.
        :param drain_s: the seconds for which a backend server that leaves serves on.
        """
        self.backends_by_id = {}
        self.absent_by_id = {}
        self.groups_by_key = {}
        self.loaded = False
        self.changed = asyncio.Event()
        self.revision = 0
        self.excluded_zones = frozenset()
        self._collection = collection
        self._decode = decode
        self._kernel = None
        self._configuration = None
        self._heads_by_service_and_model = {}
        self._plain_backends_by_service = {}
        self._available_by_id = {}
        self._indexed_configuration = None
        self._deferred_by_id = {}
        self._copies = CopyGuard()
        self._cold = ColdServers()
        asking_s = CONTACT_TIMEOUT_S + SEND_MARGIN_S
        self._max_unconfirmed_s = drain_s * UNCONFIRMED_DRAIN_SHARE - asking_s

    async def start(self, kernel):
        """Follow the collection through the relay service."""
        self._kernel = kernel
        self._configuration = kernel.get("serving_configuration")
        kernel.get("relay").follow(self._collection, self._apply)

    async def stop(self):
        """Do nothing; the kernel cancels the tasks."""

    def backends(self, service):
        """Return the backend servers of the plain ``service`` that may get requests."""
        self._rebuild_index()
        return self._plain_backends_by_service.get(service, ())

    def heads(self, service, model):
        """Return the heads of the open, complete groups of ``model`` in ``service``."""
        self._rebuild_index()
        return self._heads_by_service_and_model.get((service, model), ())

    def takes_requests(self, backend):
        """Return whether ``backend`` may get requests still.

        It may not if it has started again or joined another group.
        """
        self._rebuild_index()
        available = self._available_by_id.get(backend.id)
        return available is not None and _identity(available) == _identity(backend)

    def cold_left_s(self, backend):
        """Return how much longer ``backend`` may be cold, in seconds."""
        return self._cold.left_s(backend, self._kernel.clock.time())

    def record_cold(self, backend, left_s):
        """Record that an answer of ``backend`` says that it is cold."""
        now = self._kernel.clock.time()
        self._cold.mark([backend], left_s, now, reason="answer")

    def record_unreachable(self, backend):
        """Count a plain ``backend`` that takes no connection as cold once it is back.

        The head of a group comes back as another start, without its group.
        """
        cold_s = self._cold_s(backend)
        if cold_s and backend.membership is None:
            now = self._kernel.clock.time()
            left_s = cold_s + RETURN_DOUBT_S
            self._cold.mark([backend], left_s, now, reason="unreachable")

    def _cold_s(self, backend):
        configuration = self._configuration.current
        services = configuration.services_by_name if configuration else {}
        service = services.get(backend.service)
        return service.cold_s if service is not None else 0.0

    def exclude_zones(self, zones):
        """Keep requests away from the backend servers of exactly these ``zones``.

        Servers of a zone that is taken back may be cold.
        """
        returned = self.excluded_zones - zones
        backends_by_cold_s = {}
        for backend in self.backends_by_id.values():
            if backend.availability_zone in returned:
                cold_s = self._cold_s(backend)
                backends_by_cold_s.setdefault(cold_s, []).append(backend)
        now = self._kernel.clock.time()
        for cold_s, backends in backends_by_cold_s.items():
            self._cold.mark(backends, cold_s, now, reason="zone taken back")
        self.excluded_zones = zones
        self.invalidate()

    def record_leaving(self, backend):
        """Record that ``backend`` has said that it leaves, whatever the list says."""
        known = self.backends_by_id.get(backend.id)
        if (
            known is None
            or known.incarnation != backend.incarnation
            or known.state is BackendState.DRAINING
        ):
            return
        log.notice("backend says that it leaves", backend=backend.id)
        leaving = replace(known, state=BackendState.DRAINING)
        before = self.backends_by_id
        self._replace(before, {**before, backend.id: leaving}, self.revision)

    def _apply(self, update):
        before = self.backends_by_id
        went_back = self.loaded and (
            Revision(self.revision).era < Revision(update.revision).era
        )
        after = {} if update.is_snapshot else dict(before)
        for stored in update.objects:
            self._merge_entry(after, before, stored)
        for change in update.changes:
            if change.removed:
                after.pop(change.stored.name, None)
                self._copies.forget_copy(change.stored.name)
            else:
                self._merge_entry(after, before, change.stored)
        if went_back:
            self._defer_copies(before, after)
        if update.store_contact_s < REREGISTRATION_S:
            self._defer_removals(before, after, update)
        else:
            self._end_deferrals(after)
        self.revision = update.revision
        self.loaded = True
        self._replace(before, after, update.revision)

    def _defer_copies(self, before, after):
        """Keep what was known of the entries that a store that went back shows."""
        copies_by_id = self._copies.defer(before, after, self._kernel.clock.time())
        if copies_by_id:
            log.info("copies of backends deferred", count=len(copies_by_id))
            self._kernel.spawn(self.name, self._adopt_copies, copies_by_id)

    async def _adopt_copies(self, copies_by_id):
        """Believe the copies that have not been written again meanwhile."""
        await self._kernel.clock.sleep(COPY_DOUBT_S)
        known_ids = copies_by_id.keys() & self.backends_by_id.keys()
        self._adopt({id_: copies_by_id[id_] for id_ in known_ids})
        await self._kernel.clock.sleep(GHOST_LIMIT_S - COPY_DOUBT_S)
        self._adopt(copies_by_id)

    def _adopt(self, copies_by_id):
        before = self.backends_by_id
        after = dict(before)
        for id_, copy in self._copies.take(copies_by_id).items():
            after[id_] = later_view(before.get(id_), copy)
        if after != before:
            self._replace(before, after, self.revision)

    def _replace(self, before, after, revision):
        now = self._kernel.clock.time()
        self._copies.record_gone(before, after, now)
        self._cold.apply_entries(before, after, now)
        self._log_changes(before, after, revision)
        self._update_absences(before, after, revision)
        self.backends_by_id = after
        self.invalidate()

    def _update_absences(self, before, after, revision):
        for id_ in self.absent_by_id.keys() & after.keys():
            del self.absent_by_id[id_]
        for id_ in before.keys() - after.keys():
            backend = before[id_]
            membership = backend.membership
            if (
                membership is not None
                and membership.state in MEMBER_STATES
                and backend.state is BackendState.READY
            ):
                self.absent_by_id[id_] = backend
                self._kernel.spawn(self.name, self._forget_absent, backend)
                log.debug(
                    "member absent", backend=id_, group=membership.group, rev=revision
                )

    async def _forget_absent(self, backend):
        await self._kernel.clock.sleep(ABSENCE_LIMIT_S)
        if self.absent_by_id.get(backend.id) is backend:
            del self.absent_by_id[backend.id]
            self.invalidate()

    def _defer_removals(self, before, after, update):
        """Keep entries that may have expired while the store was away.

        They go when live servers have had the time to write them again, or sooner if
        nobody confirms that the store was away.

        :param update: the `CollectionUpdate` without the entries.
        """
        deferred_by_id = {
            id_: before[id_]
            for id_ in before.keys() - after.keys() - self._deferred_by_id.keys()
        }
        after.update(
            (id_, before[id_]) for id_ in self._deferred_by_id if id_ in before
        )
        if not deferred_by_id:
            return
        wait_s = REREGISTRATION_S - update.store_contact_s
        if not update.outage_confirmed:
            wait_s = max(0.0, min(wait_s, self._max_unconfirmed_s))
        log.info(
            "removal of backends deferred",
            count=len(deferred_by_id),
            first=sorted(deferred_by_id)[:MAX_LOGGED_IDS],
            seconds=round(wait_s, 3),
            contact_s=round(update.store_contact_s, 3),
            outage_confirmed=update.outage_confirmed,
            rev=update.revision,
        )
        after.update(deferred_by_id)
        self._deferred_by_id.update(deferred_by_id)
        self._kernel.spawn(self.name, self._remove_deferred, deferred_by_id, wait_s)

    def _end_deferrals(self, after):
        """Remove what was kept, now that the store is known not to have been away."""
        for id_ in self._deferred_by_id:
            after.pop(id_, None)
        self._deferred_by_id.clear()

    async def _remove_deferred(self, deferred_by_id, wait_s):
        await self._kernel.clock.sleep(wait_s)
        gone = {
            id_
            for id_, backend in deferred_by_id.items()
            if self._deferred_by_id.get(id_) is backend
        }
        for id_ in gone:
            del self._deferred_by_id[id_]
        before = self.backends_by_id
        after = {id_: item for id_, item in before.items() if id_ not in gone}
        self._replace(before, after, self.revision)

    def invalidate(self):
        """Rebuild the groups, discard the index and wake waiting tasks."""
        self.groups_by_key = build_group_views(
            [*self.absent_by_id.values(), *self.backends_by_id.values()]
        )
        self._indexed_configuration = None
        self.changed.set()
        self.changed = asyncio.Event()

    def _merge_entry(self, after, before, stored):
        backend = self._decode(stored.name, stored.value)
        if backend is None:
            log.warning(
                "entry ignored",
                backend=stored.name[:MAX_LOGGED_CHARS],
                rev=stored.version,
            )
            if stored.name in before:
                after[stored.name] = before[stored.name]
            return
        self._deferred_by_id.pop(stored.name, None)
        self._copies.forget_copy(stored.name)
        after[stored.name] = later_view(before.get(stored.name), backend)

    def _log_changes(self, before, after, revision):
        """Log what changed: in one line, or, at the leader, one for each change.

        A list that is read for the first time is one line at the leader, too.
        """
        changes = list(self._changes_between(before, after))
        if not changes:
            return
        lease = self._kernel.find("lease")
        if before and lease is not None and lease.is_held():
            for event, fields in changes:
                log.info(event, **fields, rev=revision)
            return
        counts = Counter(event for event, _ in changes)
        log.info(
            "backends changed",
            rev=revision,
            known=len(after),
            counts=dict(counts),
            first=[fields["backend"] for _, fields in changes[:MAX_LOGGED_IDS]],
        )

    def _changes_between(self, before, after):
        """Yield the event and the fields of the log line of each change."""
        for id_ in before.keys() - after.keys():
            yield "backend gone", {"backend": id_}
        for id_, backend in after.items():
            known = before.get(id_)
            if known is backend:
                continue
            if known is None or known.incarnation != backend.incarnation:
                yield (
                    "backend listed",
                    {
                        "backend": id_,
                        "service": backend.service,
                        "domain": backend.domain,
                    },
                )
            elif known.state is not backend.state:
                yield "backend state", {"backend": id_, "state": backend.state}
            elif known.membership != backend.membership:
                membership = backend.membership
                yield (
                    "membership",
                    {
                        "backend": id_,
                        "group": membership.group if membership else None,
                        "rank": membership.rank if membership else None,
                        "state": membership.state if membership else None,
                    },
                )

    def _rebuild_index(self):
        configuration = self._configuration.current
        if self._indexed_configuration is configuration and configuration is not None:
            return
        heads, plain = {}, {}
        services = configuration.services_by_name if configuration else {}
        for backend in self.backends_by_id.values():
            if backend.availability_zone in self.excluded_zones:
                continue
            service = services.get(backend.service)
            if service is None or service.engine is None:
                if backend.state is BackendState.READY:
                    plain.setdefault(backend.service, []).append(backend)
                continue
            membership = backend.membership
            if (
                membership is None
                or membership.rank
                or membership.state is not MemberState.OPEN
            ):
                continue
            group = self.groups_by_key[(membership.group, membership.epoch)]
            size = _group_size(service.engine, group.model)
            if size and group.serves(size):
                key = (backend.service, group.model)
                heads.setdefault(key, []).append(backend)
        self._heads_by_service_and_model = heads
        self._plain_backends_by_service = plain
        self._available_by_id = {
            backend.id: backend
            for backends in (*heads.values(), *plain.values())
            for backend in backends
        }
        self._indexed_configuration = configuration


def _identity(backend):
    membership = backend.membership
    group = (membership.group, membership.epoch) if membership is not None else None
    return backend.incarnation, backend.address, group


def _group_size(engine, model):
    for spec in engine.models:
        if spec.name == model:
            return spec.size
    return 0
