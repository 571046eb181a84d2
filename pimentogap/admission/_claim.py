"""What a request asks for when it competes with others for a place."""


class Claim:
    """A request that needs a place at a backend server of a service and model.

    ``objective_s`` is its objective for the first event, counted from the caller's
    first attempt; ``elapsed_s`` of it had passed when this attempt arrived at
    ``arrived_at``. ``tightest_s`` is the tightest objective of its own route and of
    those that go before it. ``prompt_tokens`` is 0 if unknown. A late one may next ask
    for a place at ``asks_at``.
    """

    __slots__ = (
        "attempt_id",
        "service",
        "model",
        "workspace",
        "priority",
        "objective_s",
        "tightest_s",
        "elapsed_s",
        "arrived_at",
        "deadline",
        "prompt_tokens",
        "asks_at",
    )

    def __init__(
        self,
        *,
        attempt_id,
        service,
        model,
        workspace,
        priority,
        objective_s,
        tightest_s,
        elapsed_s,
        arrived_at,
        deadline,
        prompt_tokens=0,
    ):
        self.attempt_id = attempt_id
        self.service = service
        self.model = model
        self.workspace = workspace
        self.priority = priority
        self.objective_s = objective_s
        self.tightest_s = tightest_s
        self.elapsed_s = elapsed_s
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.prompt_tokens = prompt_tokens
        self.asks_at = arrived_at

    @property
    def is_return(self):
        """Whether the caller comes back after a refusal."""
        return self.elapsed_s > 0

    def is_late(self, least_s, now):
        """Tell whether the claim of a caller who came back cannot be in time any more.

        :param least_s: the time to a first event at a group without other requests.
        """
        return self.is_return and self.left_s(now) < least_s

    def left_s(self, now):
        """Return the seconds in which its first event is still in time."""
        return self.objective_s - self.elapsed_s - (now - self.arrived_at)


def tightest_objective_s(configuration, route, service):
    """Return the tightest objective among ``route`` and those that go before it.

    A request with a looser objective would otherwise take the places in which more
    urgent ones could still be in time.
    """
    objectives_s = [
        other.first_byte_s
        for other in configuration.routes
        if other.priority <= route.priority
        and other.first_byte_s > 0
        and any(split.service == service for split in other.splits)
    ]
    return min(objectives_s, default=route.first_byte_s)
