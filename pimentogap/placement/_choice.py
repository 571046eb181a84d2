"""Spreads requests over backend servers whose load is known with some delay.

All daemons know the same old counts, so the least loaded backend server would be
overrun. What is known is carried on to the present: M. Dahlin, "Interpreting Stale Load
Information", ICDCS 1999. Without it, two are drawn at random: M. Mitzenmacher, "How
Useful Is Old Information?", IEEE Trans. on Parallel and Distributed Systems, 2000.
"""

# A backend server with room for less than a whole request is full.
MIN_ROOM = 1.0


def choose_by_room(loads, flow, age_s, now, random):
    """Return the index of the backend server for a request, ``None`` without room.

    :param loads: the `BackendLoad` of each backend server.
    :param flow: the `ModelFlow` of the model.
    :param age_s: how old the counts of other daemons are; ``None`` if there are none.
    :param now: seconds of the runtime's clock.
    :param random: the random generator.
    """
    limits = [load.limit for load in loads]
    if max(limits) < MIN_ROOM:
        limits = [MIN_ROOM] * len(loads)
    if age_s is None:
        at_work = [load.expected_requests(now) for load in loads]
        return choose_of_two(at_work, limits, random)
    kept_share = flow.kept_share(age_s)
    at_work = [
        load.in_flight + load.hidden + kept_share * load.others for load in loads
    ]
    return choose_by_level(at_work, limits, flow.others_since(age_s), random)


def choose_by_level(at_work, limits, arrivals, random):
    """Return the index of the backend server for a request, ``None`` without room.

    The requests that the fleet sends meanwhile are assumed to fill all backend servers
    to one level, as a share of their limits. Each gets this request with a probability
    in proportion to what it is below that level. If there is room for a part of the
    requests only, this one is refused with the probability of the rest.

    :param at_work: the requests expected at each, without the ``arrivals``.
    :param limits: the requests that each may have.
    :param arrivals: how many requests the fleet sends meanwhile.
    :param random: the random generator.
    """
    arrivals = max(MIN_ROOM, arrivals)
    level = _level(at_work, limits, arrivals)
    if level > 1.0:
        rooms = (limit - count for limit, count in zip(limits, at_work, strict=True))
        room = sum(max(0.0, each) for each in rooms)
        if random.random() * arrivals >= room:
            return None
        level = 1.0
    weights = [
        max(0.0, level * limit - count) if limit >= MIN_ROOM else 0.0
        for limit, count in zip(limits, at_work, strict=True)
    ]
    return random.choices(range(len(weights)), weights)[0]


def _level(at_work, limits, arrivals):
    """Return the share of their limits to which ``arrivals`` fill the emptiest."""
    filled = sorted(
        (count / limit, count, limit)
        for count, limit in zip(at_work, limits, strict=True)
        if limit >= MIN_ROOM
    )
    total, total_limit = arrivals, 0.0
    level = float("inf")
    for share, count, limit in filled:
        if share >= level:
            break
        total += count
        total_limit += limit
        level = total / total_limit
    return level


def choose_of_two(at_work, limits, random):
    """Return the index of the backend server for a request, ``None`` if all are full.

    Two with room are drawn, in proportion to their limits, and the one with less at
    work for its limit is chosen.

    :param at_work: the requests at each backend server.
    :param limits: the requests that each may have.
    :param random: the random generator.
    """
    indexes = [
        index
        for index, (count, limit) in enumerate(zip(at_work, limits, strict=True))
        if limit - count >= MIN_ROOM
    ]
    if not indexes:
        return None
    pair = random.choices(indexes, [limits[index] for index in indexes], k=2)
    return min(pair, key=lambda index: at_work[index] / limits[index])
