"""Racing operators under faults, against a plain list of accepted tickets."""

import asyncio
from dataclasses import dataclass

from hypothesis import strategies as st

from fuzz._driver import Suite, mixed
from fuzz._faults import apply_fault, faults, mend_everything
from pimentogap.tickets import (
    Accepted,
    AlreadyAccepted,
    Current,
    OutcomeUnknown,
    load_accepted,
    may_serve,
    parse_ticket,
)
from pimentogap.types import key_of
from standins.local_fleet import LocalFleet

DAEMONS = 5
IN_FORCE_LIMIT_S = 4.0
CHECK_INTERVAL_S = 0.2
SETTLE_S = 25.0
WORKSPACES = ("w-0", "w-1", "w-2")


@dataclass(frozen=True, slots=True)
class Submit:
    """A student submits a ticket to one daemon, against what that daemon knows.

    ``behind`` makes it older than that; ``again`` submits the last one again.
    """

    daemon: int
    workspaces: tuple
    behind: int
    again: bool


class Oracle:
    """The plain list of accepted tickets, as the store's record shows it."""

    __slots__ = ("platform", "submissions", "_accepted", "_states", "_versions_seen")

    def __init__(self, platform):
        self.platform = platform
        self.submissions = []
        self._accepted = []
        self._states = [{}]
        self._versions_seen = 0

    def accepted(self):
        """Return the accepted tickets with the times at which they were written."""
        new = self.platform.versions_written[self._versions_seen :]
        self._versions_seen += len(new)
        for version in new:
            if version.collection == "tickets" and version.stored.value is not None:
                ticket = load_accepted(version.stored.value)
                self._accepted.append((version.at_s, ticket))
                self._states.append(_with_ticket(self._states[-1], ticket.ticket))
        return self._accepted

    def state_at(self, revision):
        """Return every item after ticket ``revision``, by key."""
        self.accepted()
        return self._states[revision]

    def check_log(self):
        """Check the numbers, the submissions and that no update was lost."""
        accepted = [ticket for _, ticket in self.accepted()]
        assert [t.number for t in accepted] == list(range(1, len(accepted) + 1))
        submissions = [t.ticket.header.submission for t in accepted]
        assert len(set(submissions)) == len(submissions), "accepted twice"
        for ticket in accepted:
            touched = set(ticket.ticket.touched_keys())
            against = ticket.ticket.header.against
            for earlier in accepted[against : ticket.number - 1]:
                assert not touched & set(earlier.ticket.touched_keys()), "lost update"

    def check_daemon(self, daemon, now):
        """Check that a daemon that serves has what is in force, as it was accepted."""
        configuration = daemon.get("configuration")
        current = configuration.current
        if may_serve(configuration.freshness()) and not daemon.gate.paused:
            due = sum(at <= now - IN_FORCE_LIMIT_S for at, _ in self.accepted())
            assert current.revision >= due, (
                f"daemon {daemon.index} serves revision {current.revision}, "
                f"{due} is in force: {configuration.freshness()}"
            )
        assert current.items_by_key == self.state_at(current.revision)


def _with_ticket(state, ticket):
    items = {**state, **{key_of(item): item for item in ticket.put}}
    return {key: item for key, item in items.items() if key not in ticket.remove}


async def check(history):
    """Run one history and check it throughout."""
    fleet = LocalFleet(daemons=DAEMONS, vms_per_domain=0, plain_servers=0)
    await fleet.start()
    await asyncio.sleep(3)
    oracle = Oracle(fleet.platform)
    monitor = asyncio.ensure_future(_monitor(fleet, oracle))
    pending = []
    for number, step in enumerate(history):
        if monitor.done():
            monitor.result()
        match step:
            case Submit() if step.daemon in fleet.daemons_by_index:
                pending.append(
                    asyncio.ensure_future(_submit(fleet, oracle, step, number))
                )
            case _:
                await apply_fault(fleet, step)
        await asyncio.sleep(0.02)
    await mend_everything(fleet, DAEMONS)
    await asyncio.sleep(SETTLE_S)
    for submission in pending:
        if submission.done() and not submission.cancelled():
            submission.result()
    monitor.cancel()
    await asyncio.gather(monitor, return_exceptions=True)
    _check_outcomes(oracle)
    oracle.check_log()
    for daemon in fleet.daemons_by_index.values():
        configuration = daemon.get("configuration")
        assert isinstance(configuration.freshness(), Current), configuration.freshness()
        assert configuration.current.revision == len(oracle.accepted())
    await fleet.close()


async def _monitor(fleet, oracle):
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        now = asyncio.get_running_loop().time()
        for daemon in fleet.daemons_by_index.values():
            oracle.check_daemon(daemon, now)


async def _submit(fleet, oracle, step, number):
    configuration = fleet.daemons_by_index[step.daemon].get("configuration")
    if step.again and oracle.submissions:
        ticket = oracle.submissions[-1][0]
    else:
        against = max(0, configuration.current.revision - step.behind)
        put = [
            {"kind": "workspace", "name": name, "requests_per_s": 1.0 + number}
            for name in step.workspaces
        ]
        ticket = parse_ticket(
            {
                "submission": f"s-{number}",
                "against": against,
                "author": f"student-{step.daemon}",
                "put": put,
            }
        )
    outcome = await configuration.submit(ticket)
    oracle.submissions.append((ticket, outcome))


def _check_outcomes(oracle):
    """Check that what the students were told is what the log holds."""
    numbers = {t.ticket.header.submission: t.number for _, t in oracle.accepted()}
    for ticket, outcome in oracle.submissions:
        match outcome:
            case Accepted(number) | AlreadyAccepted(number):
                assert numbers[ticket.header.submission] == number
    told = {ticket.header.submission for ticket, _ in oracle.submissions}
    possible = {t.header.submission for t, o in oracle.submissions if _may_be_in(o)}
    unexpected = set(numbers) & told - possible
    assert not unexpected, f"accepted though refused: {unexpected}"


def _may_be_in(outcome):
    match outcome:
        case Accepted() | AlreadyAccepted() | OutcomeUnknown():
            return True
    return False


SUBMISSIONS = st.builds(
    Submit,
    daemon=st.integers(0, DAEMONS - 1),
    workspaces=st.sets(st.sampled_from(WORKSPACES), min_size=1).map(
        lambda chosen: tuple(sorted(chosen))
    ),
    behind=st.sampled_from([0, 0, 0, 1, 3]),
    again=st.sampled_from([False, False, False, True]),
)
STEPS = mixed([(SUBMISSIONS, 12), *faults(DAEMONS)])
SUITE = Suite("tickets", STEPS, check)
