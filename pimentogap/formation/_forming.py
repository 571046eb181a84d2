"""A model group on its way from the first join to the open head."""

# A member that has not begun to join by then is given up.
JOIN_GRACE_S = 3.0
# Loads that share the weight store take longer than one alone.
LOAD_PATIENCE = 2.0


class Forming:
    """A group that this leader is forming: from the first join to the open head.

    It is given up at ``join_by`` if a member has not begun to join by then, and
    at ``ready_by`` if one has not loaded the weights.
    """

    __slots__ = (
        "service",
        "model",
        "name",
        "epoch",
        "members",
        "join_by",
        "ready_by",
    )

    def __init__(self, service, model, *, name, epoch, members, now):
        """Begin at ``now``, for ``model``, a `ModelSpec` of ``service``."""
        self.service = service
        self.model = model.name
        self.name = name
        self.epoch = epoch
        self.members = members
        self.join_by = now + JOIN_GRACE_S
        self.ready_by = now + model.load_s * LOAD_PATIENCE + JOIN_GRACE_S
