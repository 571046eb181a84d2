"""Steps on requests, in a fleet on a paused clock."""

import asyncio
import hashlib
import json

from behave import then, when

from features.steps.fleet_steps import drain
from fuzz._groups import Asked, SilentTrace
from pimentogap.actions import ActionCall, NotReplied, Replied
from pimentogap.streams import CompletionRequest, Finished
from pimentogap.types import RunState
from standins._tokens import answer

REQUEST_INTERVAL_S = 0.1


async def ask(context, daemon, prompt, tokens, entry=None):
    """Ask for a completion; the result is kept in the scenario's notes."""
    entry = entry or Asked(prompt, tokens)
    context.paused.notes.setdefault("asked", []).append(entry)
    now = asyncio.get_running_loop().time()
    request = CompletionRequest(
        id=f"r-{len(context.paused.notes['asked'])}",
        service="m",
        path="/v1/completions",
        body={"prompt": prompt, "max_tokens": tokens},
        priority="interactive",
        deadline=now + 60,
    )
    streams = daemon.get("streams")
    entry.outcome = await streams.relay(request, entry, SilentTrace())


async def ask_steadily(context, seconds):
    """Have every daemon asked at a steady rate."""
    tasks = []
    deadline = asyncio.get_running_loop().time() + seconds
    number = 0
    while asyncio.get_running_loop().time() < deadline:
        for daemon in list(context.paused.fleet.daemons_by_index.values()):
            number += 1
            one = ask(context, daemon, f"prompt {number}", 5)
            tasks.append(asyncio.ensure_future(one))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*tasks)


async def call(context, daemon, key, body, patience_s):
    """Ask for an action; the result is kept in the scenario's notes."""
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
        deadline_in_s=patience_s,
    )
    outcome = await daemon.get("actions").run(request)
    context.paused.notes.setdefault("replies", []).append(outcome)


@when("callers ask every daemon steadily for {seconds:g} s")
def when_steady(context, seconds):
    context.paused.run(ask_steadily(context, seconds))


@when("callers begin to ask every daemon steadily for {seconds:g} s")
def when_steady_begins(context, seconds):
    context.paused.begin(ask_steadily, context, seconds)


@when("a caller begins an answer of {tokens:d} tokens at daemon {index:d}")
def when_stream(context, tokens, index):
    daemon = context.paused.fleet.daemons_by_index[index]
    context.paused.begin(ask, context, daemon, f"a long answer {index}", tokens)


class SlowAsked(Asked):
    """A caller that takes one event a second."""

    __slots__ = ()

    async def write_events(self, data):
        """Take in events slowly."""
        await asyncio.sleep(1.0)
        await super().write_events(data)


@when(
    "a caller that takes 1 event a second asks daemon {index:d} for {tokens:d} tokens"
)
def when_slow_caller(context, index, tokens):
    daemon = context.paused.fleet.daemons_by_index[index]
    entry = SlowAsked("slow", tokens)
    context.paused.begin(ask, context, daemon, "slow", tokens, entry)


@then("the engine has sent at most {limit:d} tokens of it")
def then_held_back(context, limit):
    engines = context.paused.fleet.engines.engines_by_vm.values()
    assert 10 <= sum(engine.events_sent for engine in engines) <= limit


@when("the VMs that serve an answer are killed")
def when_serving_killed(context):
    engines = context.paused.fleet.engines
    serving = [
        e for e in engines.engines_by_vm.values() if e.up and e.report()["running"]
    ]
    assert serving, "no answer is being served"
    context.paused.read(lambda: engines.kill(serving[0].vm.id))


@when("action {key} is asked for at daemon {index:d}")
def when_action(context, key, index):
    daemon = context.paused.fleet.daemons_by_index[index]
    context.paused.run(call(context, daemon, key, "slot", 5.0))


@when("another request under key {key} comes to daemon {index:d}")
def when_other_action(context, key, index):
    daemon = context.paused.fleet.daemons_by_index[index]
    context.paused.run(call(context, daemon, key, "another slot", 5.0))


@when("action {key} begins at daemon {index:d}")
def when_action_begins(context, key, index):
    daemon = context.paused.fleet.daemons_by_index[index]
    context.paused.begin(call, context, daemon, key, "slot", 5.0)


@when("the plain service loses its next answer")
def when_service_loses(context):
    context.paused.fleet.book.lose_answers = 1


@when("the plain service takes {seconds:g} s to act")
def when_service_slow(context, seconds):
    for server in context.paused.fleet.plain_servers:
        server.slow_s = seconds


@when("no server of the plain service accepts connections")
def when_servers_gone(context):
    handlers = context.paused.fleet.network.handlers_by_address
    for address in [a for a in handlers if a.startswith("10.0.2.1:")]:
        del handlers[address]


@when("the daemon that owns action {key} is killed")
def when_owner_killed(context, key):
    context.paused.run(context.paused.fleet.kill_daemon(owner_of(context, key)))


@when("the daemon that owns action {key} is paused")
def when_owner_paused(context, key):
    index = owner_of(context, key)
    context.paused.notes["holder"] = context.paused.fleet.daemons_by_index[index]
    context.paused.notes["holder"].gate.pause()


@when("action {key} is asked for at another daemon")
def when_action_elsewhere(context, key):
    daemons = context.paused.fleet.daemons_by_index.values()
    daemon = next(d for d in daemons if not d.gate.paused)
    context.paused.run(call(context, daemon, key, "slot", 5.0))


@when("everything under way ends")
def when_all_ends(context):
    context.paused.run(drain(context, 120.0))


@then("every caller has its own whole answer")
def then_answers_whole(context):
    asked = context.paused.notes["asked"]
    assert asked
    for entry in asked:
        assert isinstance(entry.outcome, Finished), entry.outcome
        assert entry.finished and entry.text == answer(entry.prompt, entry.tokens)


@then("at least {count:d} answer was resumed on another replica")
def then_resumed(context, count):
    daemons = context.paused.fleet.daemons_by_index.values()
    assert sum(daemon.get("streams").resumed_count for daemon in daemons) >= count


@then("the caller gets the answer")
def then_replied(context):
    assert last_reply(context) is False


@then("the caller gets the answer that was kept")
def then_replayed(context):
    assert last_reply(context) is True


def last_reply(context):
    """Return whether the last reply was replayed; fail if it is none."""
    last = context.paused.notes["replies"][-1]
    assert isinstance(last, Replied), last
    return last.replayed


@then("the caller is told {state}")
def then_told(context, state):
    last = context.paused.notes["replies"][-1]
    assert isinstance(last, NotReplied), last
    assert last.refusal.run_state == RunState(state.replace(" ", "_")), last


@then("action {key} ran {count:d} times")
@then("action {key} ran {count:d} time")
def then_ran(context, key, count):
    runs = [run for run in context.paused.fleet.book.runs if run.key == key]
    assert len(runs) == count, runs


def owner_of(context, key):
    """Return the index of the daemon that owns the shard of ``key``."""
    from pimentogap.actions import shard_of

    daemon = next(iter(context.paused.fleet.daemons_by_index.values()))
    owner = daemon.get("actions").owner_of(shard_of(f"w|book|{key}"))
    return int(owner.removeprefix("daemon-"))


@then("no answer was resumed")
def then_none_resumed(context):
    daemons = context.paused.fleet.daemons_by_index.values()
    assert sum(daemon.get("streams").resumed_count for daemon in daemons) == 0
