"""Chooses which model's weights each spare of a fabric domain stages."""

from collections import Counter


class SpareStaging:
    """Chooses the models to stage on spares.

    It records which model each spare was ordered to load, since the backend list
    shows staged weights only after the load.
    """

    __slots__ = ("_ordered_model_by_key",)

    def __init__(self):
        self._ordered_model_by_key = {}

    def record(self, backend, model):
        """Record that ``backend`` was ordered to stage the weights of ``model``."""
        self._ordered_model_by_key[(backend.id, backend.incarnation)] = model

    def choose(self, spares, weights):
        """Return pairs of a spare and the name of the model that it is to load now.

        :param spares: backend servers of one domain that are in no group.
        :param weights: for each model, its number of members in the domain times the
            seconds of loading that the loss of one of them costs.
        """
        ordered = sorted(spares, key=lambda item: item.id)
        held_by_id = {item.id: self._held_model(item, weights) for item in ordered}
        held_counts = Counter(held_by_id.values())
        wanted_counts = _wanted_counts(len(ordered), weights)
        chosen = []
        for backend in ordered:
            held_model = held_by_id[backend.id]
            if (
                held_model is not None
                and held_counts[held_model] <= wanted_counts[held_model]
            ):
                continue
            missing = [
                name
                for name in wanted_counts
                if held_counts[name] < wanted_counts[name]
            ]
            if missing:
                held_counts[held_model] -= 1
                held_counts[missing[0]] += 1
                chosen.append((backend, missing[0]))
        return chosen

    def _held_model(self, backend, weights):
        ordered_model = self._ordered_model_by_key.get(
            (backend.id, backend.incarnation)
        )
        names = [name for name in (ordered_model, *backend.staged) if name in weights]
        return names[0] if names else None


def _wanted_counts(count, weights):
    """Return how many of ``count`` spares are to hold each model, in proportion."""
    wanted_counts = Counter()
    for _ in range(count):
        name = max(weights, key=lambda item: weights[item] / (wanted_counts[item] + 1))
        wanted_counts[name] += 1
    return wanted_counts
