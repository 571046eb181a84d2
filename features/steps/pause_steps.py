"""Steps for a daemon whose process was paused."""

from behave import then, when

from features.steps.daemon_steps import inner_address, leader_and_others
from features.steps.platform_steps import start_request
from standins.emulator import configuration_document


@when(
    "a daemon other than the leader hears nothing,"
    " and version {version:d} removes every key"
)
def when_deaf(context, version):
    _, others = leader_and_others(context)
    context.paused = others[-1]
    fleet = context.simulation.fleet
    context.cut = {
        (inner_address(context.paused), inner_address(name))
        for name in fleet.kernels_by_name
    }
    fleet.cut_calls |= context.cut
    fleet.store.faults.refused_sources.add(context.paused)
    document = configuration_document(version, keys=())
    fleet.store.put("config", "main", document)


@when("{seconds:g} seconds pass unnoticed by it")
def when_unnoticed(context, seconds):
    """Let time pass as if the daemon's own task had not run."""
    kernel = context.simulation.fleet.kernels_by_name[context.paused]
    context.simulation.wait(seconds)
    kernel.get("pauses")._ticked_at -= seconds


@when("it receives a look-up")
def when_lookup(context):
    context.lookup = start_request(context, "GET", "/look/x", daemon=context.paused)


@when("it hears the others again after {seconds:g} seconds")
def when_hears(context, seconds):
    context.simulation.wait(seconds)
    fleet = context.simulation.fleet
    fleet.cut_calls -= context.cut
    fleet.store.faults.refused_sources.clear()
    context.simulation.wait(1.0)


@then("the answer to the look-up is {status:d}")
def then_status(context, status):
    assert context.lookup.response.status == status, context.lookup.response.status
