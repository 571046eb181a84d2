"""Keeps the pace of every backend server that is listed."""

import math
from dataclasses import dataclass

from pimentogap.pace._evidence import NO_EVIDENCE
from pimentogap.pace._server import ServerPace

# Servers that are listed when the daemon has just started count as established.
FIRST_LIST_S = 10.0
# A server that was not listed for this long begins again.
ABSENCE_S = 1.0
FORGET_S = 30.0


@dataclass(frozen=True, slots=True)
class Room:
    """The ``usual`` limit of a server, which is the highest as well.

    Servers with the same ``model``, any value that identifies one, can serve in place
    of each other.
    """

    model: tuple | None
    usual: float


class PaceBook:
    """The `ServerPace` of each listed backend server by its key.

    Times are in seconds of the runtime's clock.
    """

    __slots__ = (
        "paces_by_key",
        "_listed_at_by_key",
        "_listed_at",
        "_began_at",
        "_evidence_by_key",
        "_evidence_by_model",
        "_models_by_key",
    )

    def __init__(self):
        self.paces_by_key = {}
        self._listed_at_by_key = {}
        self._listed_at = -math.inf
        self._began_at = None
        self._evidence_by_key = {}
        self._evidence_by_model = {}
        self._models_by_key = {}

    def limit(self, key, room):
        """Return the limit of the server ``key``, which may not be listed yet.

        :param room: its `Room`.
        """
        pace = self.paces_by_key.get(key)
        return pace.limit if pace is not None else room.usual

    def record_listed(self, rooms_by_key, now):
        """Let servers that are new, or were absent, begin low.

        :param rooms_by_key: the `Room` of each listed server by its key.
        """
        if self._began_at is None:
            self._began_at = now
        if now - self._listed_at > ABSENCE_S:
            # This daemon was held up itself.
            self._listed_at_by_key = dict.fromkeys(self._listed_at_by_key, now)
        self._listed_at = now
        new = []
        returned = set()
        for key, room in rooms_by_key.items():
            if key not in self.paces_by_key:
                self.paces_by_key[key] = ServerPace(room.usual)
                if now - self._began_at >= FIRST_LIST_S:
                    new.append(key)
            elif now - self._listed_at_by_key.get(key, now) > ABSENCE_S:
                new.append(key)
                returned.add(key)
            self._listed_at_by_key[key] = now
        self._models_by_key = {key: room.model for key, room in rooms_by_key.items()}
        established = {
            room.model
            for key, room in rooms_by_key.items()
            if key not in new and self.paces_by_key[key].is_established
        }
        for key in new:
            is_lone = rooms_by_key[key].model not in established
            self.paces_by_key[key].start(is_known=is_lone or key in returned)

    def forget_unlisted(self, now):
        """Forget the servers that have not been listed for a long time."""
        for key, listed_at in list(self._listed_at_by_key.items()):
            if now - listed_at > FORGET_S:
                del self._listed_at_by_key[key]
                self.paces_by_key.pop(key, None)

    def record_evidence(self, evidence_by_key):
        """Record the latest `Evidence` of all listed servers by key."""
        self._evidence_by_key = evidence_by_key
        self._evidence_by_model = {}
        for key, evidence in evidence_by_key.items():
            model = self._models_by_key[key]
            of_model = self._evidence_by_model.get(model, NO_EVIDENCE)
            self._evidence_by_model[model] = of_model + evidence

    def update(self, key, at_work, now):
        """Change the limit of a listed server as its evidence shows."""
        evidence = self._evidence_by_key[key]
        others = self._evidence_by_model[self._models_by_key[key]] - evidence
        self.paces_by_key[key].update(evidence, at_work, now, others=others)

    def follow(self, key, limit, now):
        """Take over the limit of a server that a relay has found."""
        pace = self.paces_by_key.get(key)
        if pace is not None:
            pace.follow(limit, now)

    def limits_by_key(self):
        """Return the limit of each server."""
        return {key: pace.limit for key, pace in self.paces_by_key.items()}
