"""Steps for requests to a fleet on a paused clock."""

import asyncio
import hashlib
import json

from behave import then, when

from features.steps.fleet_steps import wait_for_tasks
from fuzz._groups import CompletionCall, NullTrace
from pimentogap.actions import ActionCall, NotReplied, Replied
from pimentogap.streams import CompletionRequest, Finished
from pimentogap.types import RunState
from standins._tokens import answer

REQUEST_INTERVAL_S = 0.1


async def request_completion(context, daemon, prompt, tokens, entry=None):
    """Request a completion of ``tokens`` tokens and keep its outcome.

    :param entry: the caller, by default a `CompletionCall` that reads at once.
    """
    entry = entry or CompletionCall(prompt, tokens)
    context.simulation.notes.setdefault("asked", []).append(entry)
    now = asyncio.get_running_loop().time()
    request = CompletionRequest(
        id=f"r-{len(context.simulation.notes['asked'])}",
        service="m",
        path="/v1/completions",
        body={"prompt": prompt, "max_tokens": tokens},
        priority="interactive",
        deadline=now + 60,
    )
    streams = daemon.get("streams")
    entry.outcome = await streams.relay(request, entry, NullTrace())


async def send_steady_requests(context, seconds):
    """Send a request to every daemon each interval, for ``seconds``; wait for all."""
    tasks = []
    deadline = asyncio.get_running_loop().time() + seconds
    number = 0
    while asyncio.get_running_loop().time() < deadline:
        for daemon in list(context.simulation.fleet.daemons_by_index.values()):
            number += 1
            completion = request_completion(context, daemon, f"prompt {number}", 5)
            tasks.append(asyncio.ensure_future(completion))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*tasks)


async def request_action(context, daemon, key, body, deadline_in_s):
    """Request an action under the idempotency key ``key`` and keep its outcome."""
    text = json.dumps(body)
    request = ActionCall(
        workspace="w",
        service="book",
        key=key,
        path="/actions/confirm",
        method="POST",
        content_type="application/json",
        body=text,
        body_digest=hashlib.sha256(text.encode()).hexdigest(),
        deadline_in_s=deadline_in_s,
    )
    outcome = await daemon.get("actions").run(request)
    context.simulation.notes.setdefault("replies", []).append(outcome)


@when("callers send requests to every daemon at a steady rate for {seconds:g} s")
def when_steady_requests(context, seconds):
    context.simulation.run(send_steady_requests(context, seconds))


@when(
    "callers start sending requests to every daemon at a steady rate for {seconds:g} s"
)
def when_steady_requests_start(context, seconds):
    context.simulation.start_task(send_steady_requests, context, seconds)


@when("a caller starts a request for {tokens:d} tokens at daemon {index:d}")
def when_long_answer_requested(context, tokens, index):
    daemon = context.simulation.fleet.daemons_by_index[index]
    context.simulation.start_task(
        request_completion, context, daemon, f"a long answer {index}", tokens
    )


class SlowCaller(CompletionCall):
    """A caller that reads one event a second."""

    __slots__ = ()

    async def write_events(self, data):
        """Read ``data`` after a delay of a second."""
        await asyncio.sleep(1.0)
        await super().write_events(data)


@when(
    "a caller that reads 1 event a second asks daemon {index:d} for {tokens:d} tokens"
)
def when_slow_caller(context, index, tokens):
    daemon = context.simulation.fleet.daemons_by_index[index]
    entry = SlowCaller("slow", tokens)
    context.simulation.start_task(
        request_completion, context, daemon, "slow", tokens, entry
    )


@then("the engine has sent at most {limit:d} tokens of the answer")
def then_engine_held_back(context, limit):
    engines = context.simulation.fleet.engines.engines_by_vm.values()
    assert 10 <= sum(engine.events_sent for engine in engines) <= limit


@when("a VM that is serving an answer is killed")
def when_serving_killed(context):
    engines = context.simulation.fleet.engines
    serving = [
        e for e in engines.engines_by_vm.values() if e.up and e.report()["running"]
    ]
    assert serving, "no answer is being served"
    context.simulation.call_in_loop(lambda: engines.kill(serving[0].vm.id))


@when("action {key} is requested at daemon {index:d}")
def when_action(context, key, index):
    daemon = context.simulation.fleet.daemons_by_index[index]
    context.simulation.run(request_action(context, daemon, key, "slot", 5.0))


@when("a different request with key {key} is sent to daemon {index:d}")
def when_other_action(context, key, index):
    daemon = context.simulation.fleet.daemons_by_index[index]
    context.simulation.run(request_action(context, daemon, key, "another slot", 5.0))


@when("action {key} starts at daemon {index:d}")
def when_action_begins(context, key, index):
    daemon = context.simulation.fleet.daemons_by_index[index]
    context.simulation.start_task(request_action, context, daemon, key, "slot", 5.0)


@when("the next answer of the plain service is lost")
def when_service_answer_lost(context):
    context.simulation.fleet.plain_state.lose_next = 1


@when("the plain service takes {seconds:g} s to run an action")
def when_service_slow(context, seconds):
    for server in context.simulation.fleet.plain_servers:
        server.slow_s = seconds


@when("no server of the plain service accepts connections")
def when_no_server_accepts(context):
    handlers = context.simulation.fleet.network.handlers_by_address
    for address in [a for a in handlers if a.startswith("10.0.2.1:")]:
        del handlers[address]


@when("the daemon that owns action {key} is killed")
def when_owner_killed(context, key):
    context.simulation.run(context.simulation.fleet.kill_daemon(owner_of(context, key)))


@when("the daemon that owns action {key} is paused")
def when_owner_paused(context, key):
    index = owner_of(context, key)
    context.simulation.notes["holder"] = context.simulation.fleet.daemons_by_index[
        index
    ]
    context.simulation.notes["holder"].gate.pause()


@when("action {key} is requested at another daemon")
def when_action_elsewhere(context, key):
    daemons = context.simulation.fleet.daemons_by_index.values()
    daemon = next(d for d in daemons if not d.gate.is_paused)
    context.simulation.run(request_action(context, daemon, key, "slot", 5.0))


@when("all requests in flight have ended")
def when_requests_ended(context):
    context.simulation.run(wait_for_tasks(context, 120.0))


@then("every caller has the complete answer to its own request")
def then_answers_complete(context):
    asked = context.simulation.notes["asked"]
    assert asked
    for entry in asked:
        assert isinstance(entry.outcome, Finished), entry.outcome
        assert entry.finished and entry.text == answer(entry.prompt, entry.tokens)


@then("at least {count:d} answer was resumed on another replica")
def then_resumed(context, count):
    daemons = context.simulation.fleet.daemons_by_index.values()
    assert sum(daemon.get("streams").resumed_count for daemon in daemons) >= count


@then("the caller gets a fresh answer")
def then_replied(context):
    assert was_last_answer_replayed(context) is False


@then("the caller gets the replayed answer")
def then_replayed(context):
    assert was_last_answer_replayed(context) is True


def was_last_answer_replayed(context):
    """Return whether the last answer was replayed; fail if the action was refused."""
    last = context.simulation.notes["replies"][-1]
    assert isinstance(last, Replied), last
    return last.replayed


@then("the caller gets a refusal that says {state}")
def then_refused(context, state):
    last = context.simulation.notes["replies"][-1]
    assert isinstance(last, NotReplied), last
    assert last.refusal.run_state == RunState(state.replace(" ", "_")), last


@then("action {key} ran {count:d} times")
@then("action {key} ran {count:d} time")
def then_ran(context, key, count):
    runs = [run for run in context.simulation.fleet.plain_state.runs if run.key == key]
    assert len(runs) == count, runs


def owner_of(context, key):
    """Return the index of the daemon that owns the shard of ``key``."""
    from pimentogap.actions import shard_of

    daemon = next(iter(context.simulation.fleet.daemons_by_index.values()))
    owner = daemon.get("actions").owner_of(shard_of(f"w|book|{key}"))
    return int(owner.removeprefix("daemon-"))


@then("no answer was resumed")
def then_none_resumed(context):
    daemons = context.simulation.fleet.daemons_by_index.values()
    assert sum(daemon.get("streams").resumed_count for daemon in daemons) == 0
