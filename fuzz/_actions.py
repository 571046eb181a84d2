"""Retried actions under faults, checked against the plain service's record of runs."""

import asyncio
import hashlib
import json
from dataclasses import dataclass

from hypothesis import strategies as st

from fuzz._driver import Suite, weighted_histories
from fuzz._faults import apply_fault, end_all_faults, faults
from pimentogap.actions import ActionCall, NotReplied, Replied
from pimentogap.tickets import parse_ticket
from pimentogap.types import Refusal, RefusalCode, RunState
from standins.local_fleet import LocalFleet

DAEMONS = 4
SETTLE_S = 30.0
KEYS = tuple(f"k-{number}" for number in range(12))


@dataclass(frozen=True, slots=True)
class Call:
    """A caller sends an action to one daemon, or to several at once.

    ``patience_s`` is the deadline of the call, in seconds.
    """

    daemons: tuple
    key: str
    body: str
    patience_s: float


@dataclass(frozen=True, slots=True)
class ServiceSlow:
    """Each server of the plain service delays its work by this many seconds."""

    seconds: float


@dataclass(frozen=True, slots=True)
class ServiceLoses:
    """The plain service drops its next answers after it ran the actions."""

    answers: int


@dataclass(frozen=True, slots=True)
class ServiceRefuses:
    """The plain service refuses its next requests and reports them as not run."""

    requests: int


@dataclass(frozen=True, slots=True)
class ServerDown:
    """One server of the plain service stops or resumes accepting connections."""

    server: int
    down: bool


class CallResult:
    """A call and the outcome that its caller received.

    :param runs_before: the number of runs the service had recorded before the call.
    """

    __slots__ = ("call", "outcome", "runs_before")

    def __init__(self, call, outcome, runs_before):
        self.call = call
        self.outcome = outcome
        self.runs_before = runs_before


def setup_ticket(status_path=""):
    """Return the ticket that creates the plain service and its workspace.

    :param status_path: where daemons ask whether an action ran; empty for nowhere.
    """
    backends = [
        {"vm": f"p-{i}", "address": f"10.0.2.1:{i + 1}", "availability_zone": "z-a"}
        for i in range(2)
    ]
    return parse_ticket(
        {
            "submission": "setup",
            "against": 0,
            "author": "operator",
            "put": [
                {
                    "kind": "plain_service",
                    "name": "book",
                    "timeout": "2s",
                    "status_path": status_path,
                    "backends": backends,
                },
                {"kind": "workspace", "name": "w", "services": ["book"]},
            ],
        }
    )


async def check(history):
    """Run one history, then compare the outcomes of the calls with the actual runs."""
    fleet = LocalFleet(daemons=DAEMONS, vms_per_domain=0)
    await fleet.start()
    await asyncio.sleep(3)
    daemon = fleet.daemons_by_index[0]
    await daemon.get("configuration").submit(setup_ticket())
    await asyncio.sleep(1)
    results, calls = [], []
    for step in history:
        match step:
            case Call():
                for index in step.daemons:
                    if index in fleet.daemons_by_index:
                        call = _call(fleet, index, step, results)
                        calls.append(asyncio.ensure_future(call))
            case ServiceSlow(seconds):
                for server in fleet.plain_servers:
                    server.slow_s = seconds
            case ServiceLoses(answers):
                fleet.plain_state.lose_next = answers
            case ServiceRefuses(requests):
                fleet.plain_state.refuse_next = requests
            case ServerDown(server, down):
                address = f"10.0.2.1:{server + 1}"
                handlers = fleet.network.handlers_by_address
                handlers.pop(address, None)
                if not down:
                    handlers[address] = fleet.plain_servers[server]
            case _:
                await apply_fault(fleet, step)
        await asyncio.sleep(0.02)
    await end_all_faults(fleet, DAEMONS)
    await asyncio.sleep(SETTLE_S)
    for call in calls:
        if call.done() and not call.cancelled():
            call.result()
        call.cancel()
    _check_results(fleet.plain_state, results)
    await fleet.close()


async def _call(fleet, index, step, results):
    daemon = fleet.daemons_by_index[index]
    await daemon.gate.wait_until_open()
    body = json.dumps(step.body)
    digest = hashlib.sha256(body.encode()).hexdigest()
    call = ActionCall(
        workspace="w",
        service="book",
        key=step.key,
        path="/actions/confirm",
        method="POST",
        content_type="application/json",
        body=body,
        body_digest=digest,
        deadline_in_s=step.patience_s,
    )
    runs_before = len(fleet.plain_state.runs)
    outcome = await daemon.get("actions").run(call)
    results.append(CallResult(call, outcome, runs_before))


def _check_results(plain_state, results):
    """Check that outcomes and runs agree.

    No key ran twice, no request that was reported as not run did run, and no caller
    received the answer to another request.
    """
    runs_by_key = {}
    for run in plain_state.runs:
        runs_by_key.setdefault(run.key, []).append(run)
    for key, runs in runs_by_key.items():
        assert len(runs) == 1, f"{key} ran {len(runs)} times"
    outcomes_by_request = {}
    for result in results:
        request = (result.call.key, result.call.body_digest)
        outcomes_by_request.setdefault(request, []).append(result.outcome)
        _check_answer(result, runs_by_key)
    for (key, digest), outcomes in outcomes_by_request.items():
        ran = any(run.body_digest == digest for run in runs_by_key.get(key, []))
        if all(_is_not_run(outcome) for outcome in outcomes):
            assert not ran, f"{key} was reported as not run but ran"


def _check_answer(result, runs_by_key):
    match result.outcome:
        case Replied(answer, _):
            body = json.loads(answer.body)
            assert body["key"] == result.call.key
            assert body["request"] == result.call.body_digest
            assert (
                runs_by_key[result.call.key][0].body_digest == result.call.body_digest
            )
        case NotReplied(Refusal(RefusalCode.KEY_REUSED, run_state, _, _)):
            assert run_state is RunState.NOT_RUN


def _is_not_run(outcome):
    match outcome:
        case NotReplied(Refusal(_, RunState.NOT_RUN, _, _)):
            return True
    return False


CALLS = st.builds(
    Call,
    daemons=st.sets(st.integers(0, DAEMONS - 1), min_size=1, max_size=3).map(
        lambda indexes: tuple(sorted(indexes))
    ),
    key=st.sampled_from(KEYS),
    body=st.sampled_from(["a", "a", "a", "b"]),
    patience_s=st.sampled_from([0.1, 1.0, 5.0]),
)
SERVICE_FAULTS = st.one_of(
    st.builds(ServiceSlow, st.sampled_from([0.0, 0.3, 3.0])),
    st.builds(ServiceLoses, st.sampled_from([0, 1, 3])),
    st.builds(ServiceRefuses, st.sampled_from([0, 1, 4])),
    st.builds(ServerDown, st.integers(0, 1), st.booleans()),
)
STEPS = weighted_histories([(CALLS, 24), (SERVICE_FAULTS, 5), *faults(DAEMONS)])
SUITE = Suite("actions", STEPS, check)
