"""Derives model groups from the entries of their members."""

from pimentogap.types import BackendState, MemberState

COMPLETE_GROUP_STATES = (MemberState.READY, MemberState.OPEN)
MODEL_SEPARATOR = "."


class GroupView:
    """A model group as the entries of its members show it."""

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
        """Return the name of the model that the group was formed for."""
        return model_of(self.name)

    def is_complete(self, size):
        """Return whether all ``size`` members are listed and none is leaving."""
        return len(self.members_by_rank) == size and all(
            rank < size
            and member.state is BackendState.READY
            and member.membership.state in COMPLETE_GROUP_STATES
            for rank, member in self.members_by_rank.items()
        )

    def serves(self, size):
        """Return whether the group is complete and its head accepts requests."""
        head = self.head
        return (
            head is not None
            and head.membership.state is MemberState.OPEN
            and self.is_complete(size)
        )


def group_name(model, epoch):
    """Return the name of the group that is formed for ``model`` at ``epoch``."""
    return f"{model}{MODEL_SEPARATOR}{epoch}"


def model_of(name):
    """Return the model for which the group called ``name`` was formed."""
    model, separator, _ = name.rpartition(MODEL_SEPARATOR)
    return model if separator else name


def build_group_views(backends):
    """Return the `GroupView` of each group of ``backends``, by its name and epoch."""
    groups_by_key = {}
    for backend in backends:
        membership = backend.membership
        if membership is None:
            continue
        key = (membership.group, membership.epoch)
        group = groups_by_key.get(key)
        if group is None:
            group = groups_by_key[key] = GroupView(membership.group, membership.epoch)
        group.members_by_rank[membership.rank] = backend
    return groups_by_key
