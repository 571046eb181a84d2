"""Chooses which model's weights each spare of a fabric domain stages."""

from collections import Counter


def choose_staging(spares, loading_by_id, weights):
    """Return pairs of a spare and the name of the model that it is to load now.

    :param spares: backend servers of one domain that are in no group.
    :param loading_by_id: the model that each spare loads already, or ``None``.
    :param weights: for each model, its number of members in the domain times the
        seconds of loading that the loss of one of them costs.
    """
    ordered = sorted(spares, key=lambda item: item.id)
    held_by_id = {
        item.id: _held_model(item, loading_by_id, weights) for item in ordered
    }
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
            name for name in wanted_counts if held_counts[name] < wanted_counts[name]
        ]
        if missing:
            held_counts[held_model] -= 1
            held_counts[missing[0]] += 1
            chosen.append((backend, missing[0]))
    return chosen


def _held_model(backend, loading_by_id, weights):
    names = [
        name
        for name in (loading_by_id.get(backend.id), *backend.staged)
        if name in weights
    ]
    return names[0] if names else None


def _wanted_counts(count, weights):
    """Return how many of ``count`` spares are to hold each model, in proportion."""
    wanted_counts = Counter()
    for _ in range(count):
        name = max(weights, key=lambda item: weights[item] / (wanted_counts[item] + 1))
        wanted_counts[name] += 1
    return wanted_counts
