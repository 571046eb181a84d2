"""Chooses which weights the spares of a fabric domain are to hold."""

from collections import Counter


class SpareStaging:
    """Remembers what spares were asked to load, which the list shows only later."""

    __slots__ = ("_model_by_life",)

    def __init__(self):
        self._model_by_life = {}

    def note(self, backend, model):
        """Note that ``backend`` was asked to load ``model``."""
        self._model_by_life[(backend.id, backend.born_ms)] = model

    def choose(self, spares, weights):
        """Return pairs of a spare and the model that it is to load now.

        :param spares: backend servers of one domain that are in no group.
        :param weights: for each model, the seconds of loading that the loss of
            one of its members in the domain would cost, times their number.
        """
        ordered = sorted(spares, key=lambda item: item.id)
        held_by_id = {item.id: self._held(item, weights) for item in ordered}
        held = Counter(held_by_id.values())
        wanted = _wanted(len(ordered), weights)
        chosen = []
        for backend in ordered:
            has = held_by_id[backend.id]
            if has is not None and held[has] <= wanted[has]:
                continue
            missing = [name for name in wanted if held[name] < wanted[name]]
            if missing:
                held[has] -= 1
                held[missing[0]] += 1
                chosen.append((backend, missing[0]))
        return chosen

    def _held(self, backend, weights):
        asked = self._model_by_life.get((backend.id, backend.born_ms))
        names = [name for name in (asked, *backend.staged) if name in weights]
        return names[0] if names else None


def _wanted(count, weights):
    """Return how many of ``count`` spares are to hold each model."""
    wanted = Counter()
    for _ in range(count):
        name = max(weights, key=lambda item: weights[item] / (wanted[item] + 1))
        wanted[name] += 1
    return wanted
