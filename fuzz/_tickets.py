"""Concurrent submissions of tickets under faults, checked against the accepted list.

The oracle reads that list from the versions that the emulated store wrote.
"""

import asyncio
from dataclasses import dataclass

from hypothesis import strategies as st

from fuzz._driver import Suite, weighted_histories
from fuzz._faults import apply_fault, end_all_faults, faults
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
    """An operator submits a ticket to one daemon, based on that daemon's revision.

    ``behind`` is by how many revisions the ticket's base is older; with ``again``
    the ticket that was answered last is submitted a second time instead.
    """

    daemon: int
    workspaces: tuple
    behind: int
    again: bool


class Oracle:
    """The accepted tickets and the state after each, from the versions in the store."""

    __slots__ = ("platform", "submissions", "_accepted", "_states", "_versions_seen")

    def __init__(self, platform):
        self.platform = platform
        self.submissions = []
        self._accepted = []
        self._states = [{}]
        self._versions_seen = 0

    def accepted(self):
        """Return pairs of the time of the write in seconds and the accepted ticket."""
        new = self.platform.versions_written[self._versions_seen :]
        self._versions_seen += len(new)
        for version in new:
            if version.collection == "tickets" and version.stored.value is not None:
                ticket = load_accepted(version.stored.value)
                self._accepted.append((version.at_s, ticket))
                self._states.append(_with_ticket(self._states[-1], ticket.ticket))
        return self._accepted

    def state_at(self, revision):
        """Return the items by key after the ticket with number ``revision``."""
        self.accepted()
        return self._states[revision]

    def check_log(self):
        """Check that numbers have no gap, submissions are unique and no update is lost.

        An update is lost if a ticket touches a key that another ticket changed after
        the revision on which the first one is based.
        """
        accepted = [ticket for _, ticket in self.accepted()]
        assert [t.number for t in accepted] == list(range(1, len(accepted) + 1))
        submissions = [t.ticket.header.submission for t in accepted]
        assert len(set(submissions)) == len(submissions), "accepted twice"
        for ticket in accepted:
            touched_keys = set(ticket.ticket.touched_keys())
            base_revision = ticket.ticket.header.against
            for earlier in accepted[base_revision : ticket.number - 1]:
                assert not touched_keys & set(earlier.ticket.touched_keys()), (
                    "lost update"
                )

    def check_daemon(self, daemon, now):
        """Check the configuration of one daemon.

        It must equal the state after its revision. A daemon that may serve must have
        each ticket that was accepted `IN_FORCE_LIMIT_S` ago or earlier.
        """
        configuration = daemon.get("configuration")
        current = configuration.current
        if may_serve(configuration.freshness()) and not daemon.gate.is_paused:
            required_revision = sum(
                accepted_at <= now - IN_FORCE_LIMIT_S
                for accepted_at, _ in self.accepted()
            )
            assert current.revision >= required_revision, (
                f"daemon {daemon.index} serves revision {current.revision}, "
                f"{required_revision} is in force: {configuration.freshness()}"
            )
        assert current.items_by_key == self.state_at(current.revision)


def _with_ticket(state, ticket):
    items = {**state, **{key_of(item): item for item in ticket.put}}
    return {key: item for key, item in items.items() if key not in ticket.remove}


async def check(history):
    """Run one history, checking each daemon throughout and the log at the end."""
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
    await end_all_faults(fleet, DAEMONS)
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
        base_revision = max(0, configuration.current.revision - step.behind)
        put = [
            {"kind": "workspace", "name": name, "requests_per_s": 1.0 + number}
            for name in step.workspaces
        ]
        ticket = parse_ticket(
            {
                "submission": f"s-{number}",
                "against": base_revision,
                "author": f"student-{step.daemon}",
                "put": put,
            }
        )
    outcome = await configuration.submit(ticket)
    oracle.submissions.append((ticket, outcome))


def _check_outcomes(oracle):
    """Check that the outcomes of submissions agree with the accepted tickets."""
    numbers = {t.ticket.header.submission: t.number for _, t in oracle.accepted()}
    for ticket, outcome in oracle.submissions:
        match outcome:
            case Accepted(number) | AlreadyAccepted(number):
                assert numbers[ticket.header.submission] == number
    answered = {ticket.header.submission for ticket, _ in oracle.submissions}
    possibly_accepted = {
        t.header.submission for t, o in oracle.submissions if _may_be_accepted(o)
    }
    unexpected = set(numbers) & answered - possibly_accepted
    assert not unexpected, f"accepted though refused: {unexpected}"


def _may_be_accepted(outcome):
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
STEPS = weighted_histories([(SUBMISSIONS, 12), *faults(DAEMONS)])
SUITE = Suite("tickets", STEPS, check)
