"""Decides what to believe of a backend list that has gone back to an older copy."""

import math
from collections import OrderedDict
from dataclasses import replace

from pimentogap.types import BackendState

# A store comes back from a copy that is younger than this.
GONE_MEMORY_S = 60.0


class CopyGuard:
    """The entries of a copy that contradict what was known before.

    What this daemon knew is newer than the copy, until the entry is written again.
    Times are in seconds of the runtime's clock.
    """

    __slots__ = ("_copies_by_id", "_gone_by_id")

    def __init__(self):
        self._copies_by_id = {}
        self._gone_by_id = OrderedDict()

    def defer(self, before, after, now):
        """Put what was known back into ``after``; return the copies held, by id.

        :param before: the `Backend` of each id as it was known.
        :param after: the same as the store lists it now; changed in place.
        """
        self._copies_by_id.clear()
        for id_, copy in list(after.items()):
            known = before.get(id_)
            if known is None and self._is_ghost(copy, now):
                del after[id_]
                self._copies_by_id[id_] = copy
            elif known not in (None, copy) and not _is_surely_later(known, copy):
                after[id_] = known
                self._copies_by_id[id_] = copy
        return dict(self._copies_by_id)

    def forget_copy(self, id_):
        """Believe from now on what the store lists of ``id_``, since it was written."""
        self._copies_by_id.pop(id_, None)

    def take(self, copies_by_id):
        """Return those of ``copies_by_id`` that are held, and hold them no more."""
        taken_by_id = {
            id_: copy
            for id_, copy in copies_by_id.items()
            if self._copies_by_id.get(id_) is copy
        }
        for id_ in taken_by_id:
            del self._copies_by_id[id_]
        return taken_by_id

    def record_gone(self, before, after, now):
        """Remember the starts of those in ``before`` that ``after`` does not have."""
        for id_ in before.keys() - after.keys():
            self._gone_by_id[id_] = (before[id_].incarnation, now)
            self._gone_by_id.move_to_end(id_)
        while self._gone_by_id:
            _, gone_at = next(iter(self._gone_by_id.values()))
            if now - gone_at < GONE_MEMORY_S:
                return
            self._gone_by_id.popitem(last=False)

    def _is_ghost(self, backend, now):
        """Return whether this start of ``backend`` is known to be over."""
        incarnation, gone_at = self._gone_by_id.get(backend.id, (0, -math.inf))
        return backend.incarnation <= incarnation and now - gone_at < GONE_MEMORY_S


def later_view(known, listed):
    """Return the later of two views of a backend server.

    A server that has said that it leaves does so until it starts again.

    :param known: the `Backend` as it was known, or ``None``.
    """
    if known is None or listed.incarnation > known.incarnation:
        return listed
    if listed.incarnation < known.incarnation:
        return known
    if known.state is BackendState.DRAINING:
        return replace(listed, state=BackendState.DRAINING)
    return listed


def _is_surely_later(known, copy):
    """Return whether ``copy`` was certainly written after ``known``."""
    if copy.incarnation != known.incarnation:
        return copy.incarnation > known.incarnation
    if copy.state is not known.state:
        return copy.state is BackendState.DRAINING
    return _epoch(copy) > _epoch(known)


def _epoch(backend):
    return backend.membership.epoch if backend.membership is not None else 0
