"""Steps for the time after which refused callers return; no network is involved."""

import random
from collections import Counter

from behave import given, then, when

from pimentogap.forwarding._returns import return_delay_s

ARRIVALS_PER_S = 100
SEED = 1


@given("callers with {left:g} seconds left and one retry, who arrive evenly")
def given_callers(context, left):
    context.left_s = left
    context.rng = random.Random(SEED)


@when("no group is open for {outage:g} seconds")
def when_no_group(context, outage):
    arrivals = [i / ARRIVALS_PER_S for i in range(int(outage * ARRIVALS_PER_S))]
    context.returns = [
        at + return_delay_s(context.left_s, context.rng) for at in arrivals
    ]
    context.outage_s = outage


@then("at least {share:g} of those refused are served at their return")
def then_served(context, share):
    served = sum(at >= context.outage_s for at in context.returns)
    assert served >= share * len(context.returns), served / len(context.returns)


@then("no tenth of a second has more than {factor:d} times the mean of their returns")
def then_spread(context, factor):
    counts = Counter(int(at * 10) for at in context.returns)
    mean = len(context.returns) / len(counts)
    assert max(counts.values()) <= factor * mean, counts


@then("each is asked to return within a third of that")
def then_within_third(context):
    delays = [return_delay_s(context.left_s, context.rng) for _ in range(1000)]
    assert max(delays) <= context.left_s / 3, max(delays)
    assert min(delays) > 0, min(delays)
