"""Decides when a caller whose request was refused should come back."""

# Callers wait at most a third of the time they have left. Most have a single retry, so
# a later one is more likely to find that a lost group has been formed anew (about 2 s)
# or that a queue is shorter; it still has two thirds of the time to be served.
LATEST_SHARE = 0.32
# Callers who were refused together return spread over this share of their waits.
SPREAD_SHARE = 0.4
# A group that is formed from staged weights is open by then.
MAX_WAIT_S = 2.5
MIN_WAIT_S = 0.1


def return_delay_s(remaining_s, rng):
    """Return the seconds after which a refused caller should ask again.

    :param remaining_s: seconds that the caller has left.
    :param rng: the random generator that spreads the returns.
    """
    latest_s = min(MAX_WAIT_S, LATEST_SHARE * remaining_s)
    return max(MIN_WAIT_S, latest_s * (1 - SPREAD_SHARE * rng.random()))
