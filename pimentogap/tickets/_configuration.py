"""The configuration that results from applying all accepted tickets in order."""

from collections import OrderedDict

from pimentogap.errors import SnapshotDamaged
from pimentogap.tickets._ticket import dump_item, load_item
from pimentogap.types import ItemKey, key_of

MAX_REMEMBERED_SUBMISSIONS = 2000


class Configuration:
    """Every configured item after the ticket numbered ``revision``.

    ``last_ticket_by_key`` holds the number of the last ticket that changed or
    removed each item. ``numbers_by_submission`` holds the numbers of the most
    recent submissions, so that a repeated one is recognised.
    """

    __slots__ = (
        "revision",
        "items_by_key",
        "last_ticket_by_key",
        "numbers_by_submission",
        "_items_by_kind",
    )

    def __init__(self):
        self.revision = 0
        self.items_by_key = {}
        self.last_ticket_by_key = {}
        self.numbers_by_submission = OrderedDict()
        self._items_by_kind = {}

    def apply(self, accepted):
        """Apply the accepted ticket that follows ``revision``.

        :raises ValueError: if the ticket's number is not the next.
        """
        if accepted.number != self.revision + 1:
            raise ValueError(
                f"ticket {accepted.number} does not follow revision {self.revision}"
            )
        ticket = accepted.ticket
        for item in ticket.put:
            self.items_by_key[key_of(item)] = item
        for key in ticket.remove:
            self.items_by_key.pop(key, None)
        for key in ticket.touched_keys():
            self.last_ticket_by_key[key] = accepted.number
        self._remember_submission(ticket.header.submission, accepted.number)
        self.revision = accepted.number
        self._items_by_kind.clear()

    def with_ticket(self, accepted):
        """Return a copy to which ``accepted`` has been applied."""
        copy = Configuration()
        copy.revision = self.revision
        copy.items_by_key = dict(self.items_by_key)
        copy.last_ticket_by_key = dict(self.last_ticket_by_key)
        copy.numbers_by_submission = OrderedDict(self.numbers_by_submission)
        copy.apply(accepted)
        return copy

    def get(self, kind, name):
        """Return the item of ``kind`` called ``name``, or ``None``."""
        return self.items_by_key.get(ItemKey(kind, name))

    def by_name(self, kind):
        """Return the items of one kind by their names."""
        found = self._items_by_kind.get(kind)
        if found is None:
            found = {
                key.name: item
                for key, item in self.items_by_key.items()
                if key.kind == kind
            }
            self._items_by_kind[kind] = found
        return found

    def dump(self):
        """Return the complete configuration as plain data."""
        return {
            "revision": self.revision,
            "items": [dump_item(item) for item in self.items_by_key.values()],
            "touched": [
                [key.kind, key.name, number]
                for key, number in self.last_ticket_by_key.items()
            ],
            "submissions": list(self.numbers_by_submission.items()),
        }

    @classmethod
    def load(cls, data):
        """Return the configuration that `dump` turned into ``data``.

        :raises SnapshotDamaged: if ``data`` is malformed.
        """
        configuration = cls()
        try:
            configuration.revision = int(data["revision"])
            for plain in data["items"]:
                item = load_item(plain)
                configuration.items_by_key[key_of(item)] = item
            for kind, name, number in data["touched"]:
                configuration.last_ticket_by_key[ItemKey(kind, name)] = number
            configuration.numbers_by_submission.update(data["submissions"])
        except (KeyError, TypeError, ValueError) as error:
            raise SnapshotDamaged(repr(error))
        return configuration

    def _remember_submission(self, submission, number):
        self.numbers_by_submission[submission] = number
        while len(self.numbers_by_submission) > MAX_REMEMBERED_SUBMISSIONS:
            self.numbers_by_submission.popitem(last=False)
