"""Steps for the planning of model groups, without a fleet."""

from behave import given, then, when

from pimentogap.formation import (
    Demand,
    HostWeights,
    LoadLimiter,
    configured_group_shares,
    plan_groups,
    target_counts,
)
from pimentogap.platform import decode_configuration
from pimentogap.types import Backend, BackendState, EngineSpec
from standins.emulator import configuration_document

WINDOW_S = 5.0
LOAD_S = 16.0


@given(
    "an engine with models of {size_large:d} and {size_small:d} members"
    " and shares of {share_large:g} and {share_small:g}"
)
def given_engine(context, size_large, size_small, share_large, share_small):
    models = [
        {"name": "large", "size": size_large, "share": share_large, "loadS": 16.0},
        {"name": "small", "size": size_small, "share": share_small, "loadS": 12.0},
    ]
    service = {"name": "llm", "engine": {"models": models}}
    document = configuration_document(1, services=[service])
    context.engine = decode_configuration(document).services_by_name["llm"].engine
    context.demand = Demand()


@given("{large:g} and {small:g} busy groups were measured")
def given_busy_groups(context, large, small):
    context.demand.record({"large": large, "small": small}, 0.0)


@then(
    "the targets for {n:d} domains of {size:d} backend servers"
    " are {large:d} large and {small:d} small groups"
)
def then_targets(context, n, size, large, small):
    sizes = {f"d{index}": size for index in range(n)}
    shares = configured_group_shares(context.engine)
    counts = target_counts(context.engine, sizes, shares, spares=1)
    assert counts == {"large": large, "small": small}, counts


@given("no model is overloaded")
def given_no_overload(context):
    context.overloaded = set()


@given("model {model} is overloaded")
def given_overload(context, model):
    context.overloaded = {model}


@when(
    "{large:d} large and {small:d} small groups exist,"
    " the target is {target:d} of each,"
    " and {free:d} backend servers of a domain are free"
)
def when_planned(context, large, small, target, free):
    backends = [
        Backend(
            id=f"i-{index}",
            service="llm",
            address=f"i-{index}:80",
            availability_zone="z-a",
            state=BackendState.READY,
            domain="d0",
        )
        for index in range(free)
    ]
    context.plans = plan_groups(
        context.engine,
        backends,
        {"large": large, "small": small},
        HostWeights(),
        {"large": target, "small": target},
        context.demand.group_shares(context.engine),
        spares=1,
        overloaded=getattr(context, "overloaded", ()),
    )


@then('the plan is "{plan}"')
@then('the plan is ""')
def then_plan(context, plan=""):
    names = " ".join(item.model.name for item in context.plans)
    assert names == plan, names


@when(
    'the free backend servers of each domain are "{free}",'
    " with weights of large, small or nothing (-)"
)
def when_planned_from(context, free):
    staged_by_letter = {"L": ("large",), "s": ("small",), "-": ()}
    backends = [
        Backend(
            id=f"i-{number}-{index}",
            service="llm",
            address=f"i-{number}-{index}:80",
            availability_zone="z-a",
            state=BackendState.READY,
            domain=f"d{number}",
            staged=staged_by_letter[letter],
        )
        for number, letters in enumerate(free.split())
        for index, letter in enumerate(letters)
    ]
    context.plans = plan_groups(
        context.engine,
        backends,
        {},
        HostWeights(),
        {"large": 5, "small": 5},
        configured_group_shares(context.engine),
        spares=1,
    )


@then('the plan with its loads is "{plan}"')
def then_plan_with_loads(context, plan):
    planned = " ".join(f"{item.model.name}:{item.loads}" for item in context.plans)
    assert planned == plan, planned


@given(
    "a weight store that supports {at_once:d} loads at once"
    " and {rate:g} new loads a second"
)
def given_weight_store(context, at_once, rate):
    context.engine = EngineSpec(models=(), loads_per_s=rate, loads_at_once=at_once)


@given(
    "a daemon that has been leader for {leading:g} seconds,"
    " while {loading:d} loads are in progress"
)
def given_leader(context, leading, loading):
    context.limiter = LoadLimiter(WINDOW_S)
    context.limiter.begin_term(0.0)
    context.limiter.record_running_loads(loading, leading, load_s=LOAD_S)
    context.now = leading


@then("a group with {count:d} members to load is {verdict}")
def then_admitted(context, count, verdict):
    admitted = context.limiter.admit_group(
        context.engine, count, context.now, load_s=LOAD_S
    )
    assert admitted is (verdict == "admitted")


@when("a group with {count:d} members to load is admitted")
def when_admitted(context, count):
    assert context.limiter.admit_group(
        context.engine, count, context.now, load_s=LOAD_S
    )


@when("{share:g} of the time that one load takes alone has passed")
def when_share_passed(context, share):
    context.now += share * LOAD_S
