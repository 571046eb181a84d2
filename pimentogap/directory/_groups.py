"""Works out model groups from what their members say of themselves."""

from pimentogap.types import BackendState, MemberState

WHOLE_STATES = (MemberState.READY, MemberState.OPEN)
MODEL_SEPARATOR = "."


class GroupView:
    """A model group as its members' entries show it; members are in rank order."""

    __slots__ = ("name", "epoch", "members_by_rank")

    def __init__(self, name, epoch):
        self.name = name
        self.epoch = epoch
        self.members_by_rank = {}

    @property
    def head(self):
        """Return the `Backend` of rank 0, or ``None``."""
        return self.members_by_rank.get(0)

    @property
    def model(self):
        """Return the name of the model that the group was made for."""
        return self.name.partition(MODEL_SEPARATOR)[0]

    def is_complete(self, size):
        """Tell whether all ``size`` members are there and none is leaving."""
        return len(self.members_by_rank) == size and all(
            rank < size
            and member.state is BackendState.READY
            and member.membership.state in WHOLE_STATES
            for rank, member in self.members_by_rank.items()
        )

    def serves(self, size):
        """Tell whether the group is complete and its head takes requests."""
        head = self.head
        return (
            head is not None
            and head.membership.state is MemberState.OPEN
            and self.is_complete(size)
        )


def group_name(model, epoch):
    """Return the name of the group that is formed for ``model`` at ``epoch``."""
    return f"{model}{MODEL_SEPARATOR}{epoch}"


def groups_of(backends):
    """Return the `GroupView` of each name and epoch among ``backends``."""
    groups_by_key = {}
    for backend in backends:
        place = backend.membership
        if place is None:
            continue
        key = (place.group, place.epoch)
        group = groups_by_key.get(key)
        if group is None:
            group = groups_by_key[key] = GroupView(place.group, place.epoch)
        group.members_by_rank[place.rank] = backend
    return groups_by_key
