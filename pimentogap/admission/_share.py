"""How many late requests may ask for spare places that all daemons see at once."""

from collections import deque

# What daemons know of each other's requests may be so old. Together they take no more
# in that time than the places that were spare at its beginning.
KNOWLEDGE_AGE_S = 0.6
# Late requests are counted over this time.
WINDOW_S = 3.0


class SpareShare:
    """Lets late requests take spare places with the probability that there are enough.

    Other daemons are assumed to have as many late requests as this one. Times are in
    seconds of the runtime's clock.
    """

    __slots__ = ("_asked_at",)

    def __init__(self):
        self._asked_at = deque()

    def draw(self, spare_places, daemons, now, rng):
        """Return whether one more late request may take a place.

        :param spare_places: those of all backend servers together.
        :param daemons: how many daemons take places.
        :param rng: the random generator.
        """
        asked_at = self._asked_at
        asked_at.append(now)
        while asked_at[0] <= now - WINDOW_S:
            asked_at.popleft()
        usually = len(asked_at) * KNOWLEDGE_AGE_S / WINDOW_S
        besides = sum(at > now - KNOWLEDGE_AGE_S for at in asked_at) - 1
        asking = max(usually, besides) * max(1, daemons)
        return rng.random() * asking < spare_places


def places_per_s(spare_places, daemons):
    """Return the rate at which each of ``daemons`` may take ``spare_places``."""
    return max(0.0, spare_places) / max(1, daemons) / KNOWLEDGE_AGE_S
