"""The state of a model group from the first join order until its head is open."""

from pimentogap.types import BackendState, MemberState

# Time for every member to show in the backend list that it has begun to join.
JOIN_TIMEOUT_S = 3.0
# Factor on the load time of a model: concurrent loads from the weight store slow
# each other down.
LOAD_TIMEOUT_FACTOR = 2.0


class FormingGroup:
    """A group that this leader is forming: from the first join to the open head.

    Forming is abandoned at ``join_deadline`` if a member has not begun to join by
    then, and at ``ready_deadline`` if a member has not loaded the weights. Both are
    in seconds of the runtime's clock.
    """

    __slots__ = (
        "service",
        "model",
        "name",
        "epoch",
        "members",
        "join_deadline",
        "ready_deadline",
    )

    def __init__(self, service, model, *, name, epoch, members, now):
        """Set the deadlines, which count from ``now``.

        :param service: the name of the service.
        :param model: the `ModelSpec` that the group is for.
        :param members: ids of the backend servers in rank order.
        """
        self.service = service
        self.model = model.name
        self.name = name
        self.epoch = epoch
        self.members = members
        self.join_deadline = now + JOIN_TIMEOUT_S
        self.ready_deadline = now + model.load_s * LOAD_TIMEOUT_FACTOR + JOIN_TIMEOUT_S


def can_adopt(group, spec, losses):
    """Return whether a `GroupView` that no leader forms may still become complete.

    :param spec: the `ModelSpec` of the group's model.
    :param losses: the `LossDetector`.
    """
    members = group.members_by_rank
    return set(members) == set(range(spec.size)) and all(
        not losses.is_lost(item.id)
        and item.state is BackendState.READY
        and item.membership.state in (MemberState.JOINING, MemberState.READY)
        for item in members.values()
    )
