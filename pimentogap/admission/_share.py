"""A daemon's share of the spare places that all daemons see at once."""

# What daemons know of each other's requests may be so old. Together they take no more
# in that time than the places that were spare at its beginning.
KNOWLEDGE_AGE_S = 0.6
MAX_SAVED = 1.0


class SpareShare:
    """A token bucket that fills with an even share of the spare places.

    Times are in seconds of the runtime's clock.
    """

    __slots__ = ("_places", "_filled_at")

    def __init__(self):
        self._places = 0.0
        self._filled_at = None

    def fill(self, spare_places, daemons, now):
        """Add this daemon's share for the time since the last call.

        :param spare_places: those of all backend servers together.
        :param daemons: how many daemons take places.
        """
        if self._filled_at is not None:
            elapsed_s = min(KNOWLEDGE_AGE_S, max(0.0, now - self._filled_at))
            share = max(0.0, spare_places) / max(1, daemons)
            self._places += elapsed_s * places_per_s(spare_places, daemons)
            self._places = min(self._places, max(MAX_SAVED, share))
        self._filled_at = now

    @property
    def has_place(self):
        """Return whether this daemon may take a place."""
        return self._places >= 1.0

    def take(self):
        """Take a place."""
        self._places -= 1.0


def places_per_s(spare_places, daemons):
    """Return the rate at which each of ``daemons`` may take ``spare_places``."""
    return max(0.0, spare_places) / max(1, daemons) / KNOWLEDGE_AGE_S
