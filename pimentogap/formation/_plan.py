"""Plans which backend servers form which model groups."""

from dataclasses import dataclass, replace

from pimentogap.types import BackendState

# Backend servers that each fabric domain keeps free for repairs.
SPARES_PER_DOMAIN = 1


@dataclass(frozen=True, slots=True)
class PlannedGroup:
    """A group to form for ``model``; the first of ``members`` is its head.

    ``loads`` counts the members that must load the weights from the weight store, or
    do so already. ``is_surplus`` says that an overloaded model gets a group beyond its
    target, of the spares that the fabric domain keeps otherwise.
    """

    model: object
    members: tuple
    loads: int
    is_surplus: bool = False


def target_counts(engine, sizes_by_domain, group_shares, *, spares):
    """Return how many groups of each model the backend servers have room for.

    Groups are counted one by one: each for the model that is furthest below its
    share, in the fabric domain with the fewest free backend servers that suffice.

    :param engine: the `EngineSpec` of the service.
    :param sizes_by_domain: usable backend servers of each fabric domain.
    :param group_shares: each model's share of the groups, by model name.
    :param spares: how many to leave free in each fabric domain.
    """
    free_counts = {name: size - spares for name, size in sizes_by_domain.items()}
    counts = {spec.name: 0 for spec in engine.models}
    while True:
        for spec in _by_need(engine, counts, group_shares):
            fitting = [name for name in free_counts if free_counts[name] >= spec.size]
            if fitting:
                # The tightest fit keeps other domains free for a larger model.
                free_counts[min(fitting, key=free_counts.get)] -= spec.size
                counts[spec.name] += 1
                break
        else:
            return counts


def plan_groups(
    engine,
    free,
    counts_by_model,
    weights,
    targets,
    group_shares,
    *,
    spares,
    overloaded=(),
    now=0.0,
):
    """Return the groups to form from ``free`` backend servers.

    :param engine: the `EngineSpec` of the service.
    :param free: backend servers that are in no group to be kept.
    :param counts_by_model: how many groups of each model exist or are being formed.
    :param weights: the `HostWeights`.
    :param targets: what `target_counts` returned.
    :param group_shares: each model's share of the groups, by model name.
    :param spares: spares of each fabric domain. A model that is below its target or
        overloaded may use them; for any other model, one more than these is left free.
    :param overloaded: the names of the models whose groups have no free slots.
    :param now: seconds of the runtime's clock, for loads in progress.
    """
    free_by_domain = {}
    for backend in free:
        if backend.state is BackendState.READY:
            free_by_domain.setdefault(backend.domain, []).append(backend)
    counts = dict(counts_by_model)
    planned_groups = []
    while True:
        planned = _next_group(
            engine,
            free_by_domain,
            counts,
            weights,
            targets,
            group_shares,
            spares,
            overloaded,
            now,
        )
        if planned is None:
            return planned_groups
        planned_groups.append(planned)
        counts[planned.model.name] = counts.get(planned.model.name, 0) + 1
        assigned_ids = {member.id for member in planned.members}
        domain = planned.members[0].domain
        free_by_domain[domain] = [
            item for item in free_by_domain[domain] if item.id not in assigned_ids
        ]


def _next_group(
    engine,
    free_by_domain,
    counts,
    weights,
    targets,
    group_shares,
    spares,
    overloaded,
    now,
):
    """Return the next group to form, or ``None``.

    Models below their target go first, then overloaded ones, then the model that is
    furthest below its share. Members that need no load are preferred, then domains
    that keep their spares, then the tightest fit.
    """

    def is_below_target(spec):
        return counts.get(spec.name, 0) < targets.get(spec.name, 0)

    ordered = sorted(
        _by_need(engine, counts, group_shares),
        key=lambda spec: (not is_below_target(spec), spec.name not in overloaded),
    )
    for position, spec in enumerate(ordered):
        may_use_spares = is_below_target(spec) or (
            spec.name in overloaded and not is_below_target(ordered[0])
        )
        if position and not may_use_spares:
            # Free backend servers are kept for the model that needs them most.
            continue
        needed = spec.size + (0 if may_use_spares else spares + 1)
        group = _cheapest_group(spec, free_by_domain, weights, needed, spares, now)
        if group is not None:
            left = len(free_by_domain[group.members[0].domain]) - spec.size
            is_surplus = not is_below_target(spec) and left < spares
            return replace(group, is_surplus=is_surplus)
    return None


def _cheapest_group(spec, free_by_domain, weights, needed, spares, now):
    """Return the group of ``spec`` with the fewest loads, or ``None``.

    Of equal ones, that in a fabric domain that keeps its spares, then the tightest
    fit.

    :param needed: how many free backend servers a domain must have.
    """
    options = []
    for members in free_by_domain.values():
        if len(members) < needed:
            continue
        ordered = sorted(
            members, key=lambda item: (weights.rank(item, spec, now), item.id)
        )
        chosen = ordered[: spec.size]
        cold_count = sum(weights.is_cold(item, spec, now) for item in chosen)
        uses_spares = len(members) < spec.size + spares
        options.append((cold_count, uses_spares, len(members), chosen))
    if not options:
        return None
    cold_count, _, _, chosen = min(options, key=lambda option: option[:3])
    return PlannedGroup(spec, tuple(chosen), cold_count)


def configured_group_shares(engine):
    """Return each model's share of the groups according to the configuration.

    The configured ``share`` is a share of the backend servers' work, of at least
    0.01, so that no model's share of the groups is zero. It is divided by the group
    size, since a group of a large model has more backend servers.

    :param engine: the `EngineSpec` of the service.
    """
    groups = {spec.name: max(0.01, spec.share) / spec.size for spec in engine.models}
    total = sum(groups.values())
    return {name: share / total for name, share in groups.items()}


def _by_need(engine, counts, group_shares):
    """Return the models, sorted by groups per share: the most needed first.

    The 0.5 lets shares decide among models that have no group, too.
    """
    return sorted(
        engine.models,
        key=lambda spec: (counts.get(spec.name, 0) + 0.5) / group_shares[spec.name],
    )
