"""Plans which backend servers form which model groups."""

from dataclasses import dataclass

from pimentogap.types import BackendState

# Backend servers of a fabric domain that are left free for repair.
SPARES_FOR_EACH_DOMAIN = 1


@dataclass(frozen=True, slots=True)
class Plan:
    """A group to form for ``model``; the first of ``members`` is its head.

    ``loads`` counts the members that must load the weights from their store.
    """

    model: object
    members: tuple
    loads: int


def target_counts(engine, sizes_by_domain, wants, *, spares):
    """Return how many groups of each model the backend servers have room for.

    Groups are counted one by one for the model that is shortest against its
    share, in the fabric domain with the least room that is enough.

    :param engine: the `EngineSpec` of the service.
    :param sizes_by_domain: usable backend servers of each fabric domain.
    :param wants: for each model, its part of the work.
    :param spares: how many to leave free in each fabric domain.
    """
    room = {name: size - spares for name, size in sizes_by_domain.items()}
    counts = {spec.name: 0 for spec in engine.models}
    while True:
        for spec in _by_need(engine, counts, wants):
            fitting = [name for name in room if room[name] >= spec.size]
            if fitting:
                # The tightest fit leaves room where a larger model still fits.
                room[min(fitting, key=room.get)] -= spec.size
                counts[spec.name] += 1
                break
        else:
            return counts


def plan_groups(
    engine, free, counts_by_model, last_model_by_id, targets, wants, *, spares
):
    """Return the groups to form from ``free`` backend servers.

    :param engine: the `EngineSpec` of the service.
    :param free: backend servers in no group that is worth keeping.
    :param counts_by_model: groups that exist or are being formed.
    :param last_model_by_id: the model of each one's last group.
    :param targets: what `target_counts` returned.
    :param wants: for each model, its part of the work.
    :param spares: how many to leave free where no group is short of its target.
    """
    free_by_domain = {}
    for backend in free:
        if backend.state is BackendState.READY:
            free_by_domain.setdefault(backend.domain, []).append(backend)
    counts = dict(counts_by_model)
    plans = []
    while True:
        plan = _next_plan(
            engine, free_by_domain, counts, last_model_by_id, targets, wants, spares
        )
        if plan is None:
            return plans
        plans.append(plan)
        counts[plan.model.name] = counts.get(plan.model.name, 0) + 1
        taken = {member.id for member in plan.members}
        domain = plan.members[0].domain
        free_by_domain[domain] = [
            item for item in free_by_domain[domain] if item.id not in taken
        ]


def _next_plan(
    engine, free_by_domain, counts, last_model_by_id, targets, wants, spares
):
    """Return the next group: for a model below its target, or else for any."""

    def is_short(spec):
        return counts.get(spec.name, 0) < targets.get(spec.name, 0)

    ordered = sorted(
        _by_need(engine, counts, wants), key=lambda spec: not is_short(spec)
    )
    for place, spec in enumerate(ordered):
        short = is_short(spec)
        if place and not short:
            # What is free is kept for the model that needs it most.
            continue
        needed = spec.size + (0 if short else spares + 1)
        options = []
        for members in free_by_domain.values():
            if len(members) < needed:
                continue
            chosen = _pick(members, spec, last_model_by_id)
            cold = sum(_is_cold(item, spec, last_model_by_id) for item in chosen)
            crowded = len(members) < spec.size + spares
            options.append((cold, crowded, len(members), chosen))
        if options:
            cold, _, _, chosen = min(options, key=lambda option: option[:3])
            return Plan(spec, tuple(chosen), cold)
    return None


def configured_wants(engine):
    """Return each model's part of the groups, as the configuration estimates it.

    A model's share is of the work of backend servers, of which a group of a
    large model has more.
    """
    groups = {spec.name: max(0.01, spec.share) / spec.size for spec in engine.models}
    total = sum(groups.values())
    return {name: part / total for name, part in groups.items()}


def _by_need(engine, counts, wants):
    """Return the models, the one that is shortest against its work first."""
    return sorted(
        engine.models,
        key=lambda spec: (counts.get(spec.name, 0) + 0.5) / wants[spec.name],
    )


def _pick(members, spec, last_model_by_id):
    """Return ``spec.size`` of ``members``, those that have the weights first."""

    def rank(backend):
        if last_model_by_id.get(backend.id) == spec.name:
            return 0
        return 1 if spec.name in backend.staged else 2

    ordered = sorted(members, key=lambda item: (rank(item), item.id))
    return ordered[: spec.size]


def _is_cold(backend, spec, last_model_by_id):
    last = last_model_by_id.get(backend.id)
    return last != spec.name and spec.name not in backend.staged
