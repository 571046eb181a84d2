"""Decides when groups that use the spares of their domain give them back."""

# A model's groups are counted as idle enough once so many requests per slot would be
# left to the others without one of them, for so many seconds.
CALM_REQUESTS_PER_SLOT = 0.5
CALM_S = 10.0


class SurplusGroups:
    """The groups of one leader that were formed of spares for an overloaded model.

    They are given back one at a time, the newest first. A later leader does not know
    them and keeps them.
    """

    __slots__ = ("_models_by_key", "_calm_since_by_model", "_closing_key")

    def __init__(self):
        self._models_by_key = {}
        self._calm_since_by_model = {}
        self._closing_key = None

    def add(self, key, model):
        """Record a group of ``model``; ``key`` is its name and epoch."""
        self._models_by_key[key] = model

    def is_closing(self, key):
        """Return whether a group is being given back."""
        return key == self._closing_key

    def update(self, keys, busy_by_model, counts_by_model, now):
        """Forget groups that are gone, and begin to give one back if its model is calm.

        :param keys: the name and the epoch of each group that exists.
        :param busy_by_model: the busy groups of each model, averaged.
        :param counts_by_model: the complete groups of each model.
        :param now: seconds of the runtime's clock.
        """
        for key in self._models_by_key.keys() - keys:
            del self._models_by_key[key]
        if self._closing_key not in self._models_by_key:
            self._closing_key = None
        models = set(self._models_by_key.values())
        for model in models:
            others = counts_by_model.get(model, 0) - 1
            if busy_by_model.get(model, 0.0) > others * CALM_REQUESTS_PER_SLOT:
                self._calm_since_by_model.pop(model, None)
            else:
                self._calm_since_by_model.setdefault(model, now)
        for model in self._calm_since_by_model.keys() - models:
            del self._calm_since_by_model[model]
        if self._closing_key is None:
            self._closing_key = self._next_key(now)

    def _next_key(self, now):
        """Return the newest group whose model has been calm, and restart its time."""
        for key, model in reversed(self._models_by_key.items()):
            calm_since = self._calm_since_by_model.get(model, now)
            if now - calm_since >= CALM_S:
                self._calm_since_by_model[model] = now
                return key
        return None
