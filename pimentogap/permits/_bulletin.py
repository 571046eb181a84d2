"""Tells all daemons of named limits: reports to the leader, and its list."""

import asyncio

from logbook import Logger

from pimentogap.errors import InvalidDocument, PeerUnreachable, ResponseLost
from pimentogap.permits._documents import (
    LimitList,
    decode_limits,
    decode_list,
    encode_limits,
    encode_list,
)
from pimentogap.relay import LeaderList

log = Logger("permits.bulletin")

COLLECTION = "limits"
LIST_NAME = "named"
REPORT_CALL = "named_limits"
REPORT_TIMEOUT_S = 0.4
REPORT_RETRY_DELAY_S = 0.25
# A watch that the store lost is noticed in the time in which all daemons must know.
WATCH_WAIT_S = 1.6


class LimitBulletin:
    """The leader's list of limits, which every daemon follows.

    A daemon reports what an answer says if the list says otherwise. The leader writes
    the list to the store, and keeps no other state: the next leader goes on from it.
    """

    __slots__ = (
        "current",
        "_kernel",
        "_lease",
        "_apply",
        "_list",
        "_pending_by_id",
        "_reported",
    )

    def __init__(self, kernel, apply):
        """Follow the list.

        :param apply: called with the id and the `BackendLimit`, or ``None``, of each
            entry that a newer list changes.
        """
        self.current = LimitList()
        self._kernel = kernel
        self._lease = kernel.get("lease")
        self._apply = apply
        self._list = LeaderList(
            kernel,
            collection=COLLECTION,
            name=LIST_NAME,
            encode=encode_list,
            decode=decode_list,
            current=lambda: self.current,
            accept=self._replace,
            empty=self.current,
        )
        self._pending_by_id = {}
        self._reported = asyncio.Event()
        kernel.get("calls").register(REPORT_CALL, self._answer_report)
        kernel.get("relay").follow(
            COLLECTION, self._list.apply_update, watch_wait_s=WATCH_WAIT_S
        )

    @property
    def write_lists(self):
        """Return the endless task by which the leader writes the list."""
        return self._list.write_lists

    def report(self, backend_id, limit):
        """Tell the leader of a `BackendLimit`, unless its list has it."""
        if limit.is_like(self.current.limits_by_id.get(backend_id)):
            self._pending_by_id.pop(backend_id, None)
            return
        pending = self._pending_by_id.get(backend_id)
        if pending is None or not limit.is_like(pending):
            self._pending_by_id[backend_id] = limit
            self._reported.set()

    async def send_reports(self):
        """Send what is reported, in an endless loop."""
        while True:
            await self._reported.wait()
            self._reported.clear()
            reported_by_id = dict(self._pending_by_id)
            if reported_by_id and not await self._deliver(reported_by_id):
                await self._kernel.clock.sleep(REPORT_RETRY_DELAY_S)
                self._reported.set()
                continue
            for id_, limit in reported_by_id.items():
                if self._pending_by_id.get(id_) is limit:
                    del self._pending_by_id[id_]

    async def _deliver(self, limits_by_id):
        """Return whether a leader has taken the reports."""
        if self._lease.is_held():
            self._merge(limits_by_id)
            return True
        address = self._lease.leader_address
        if not address:
            return False
        body = {"limits": encode_limits(limits_by_id)}
        try:
            answer = await self._kernel.get("calls").call(
                address, REPORT_CALL, body, timeout_s=REPORT_TIMEOUT_S
            )
        except (PeerUnreachable, ResponseLost) as error:
            log.info("limits not reported", leader=address, error=str(error))
            return False
        return bool(answer.get("taken"))

    async def _answer_report(self, body):
        if not self._lease.is_held():
            return {}
        try:
            limits_by_id = decode_limits(body.get("limits"))
        except InvalidDocument as error:
            log.warning("report on limits not readable", error=str(error))
            return {}
        self._merge(limits_by_id)
        return {"taken": True}

    def _merge(self, reported_by_id):
        """Publish the list with the reports, and without what is no longer listed."""
        directory = self._kernel.get("directory")
        merged_by_id = {**self.current.limits_by_id, **reported_by_id}
        merged_by_id = {
            id_: limit
            for id_, limit in merged_by_id.items()
            if limit.per_s is not None
            and (id_ in directory.backends_by_id or id_ in directory.absent_by_id)
        }
        if merged_by_id == self.current.limits_by_id:
            return
        is_first = self.current.term != self._lease.term
        serial = 1 if is_first else self.current.serial + 1
        self._replace(LimitList(self._lease.term, serial, merged_by_id))
        self._list.request_write()

    def _replace(self, newer):
        """Put ``newer`` in force and apply the entries that it changes."""
        before, after = self.current.limits_by_id, newer.limits_by_id
        self.current = newer
        for id_ in before.keys() | after.keys():
            if before.get(id_) != after.get(id_):
                self._apply(id_, after.get(id_))
