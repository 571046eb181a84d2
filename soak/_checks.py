"""Checks of the platform's guarantees against the records of callers and replicas."""

import json
import time

from soak._platform import VERSION_PATH

# 135 output tokens of a request, 5 in each event.
EVENTS_PER_STREAM = 27
# Refusals by which a daemon guarantees that no replica ran the request.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Refusals by the daemon itself, which show that it did not route the request: for
# its path (404) or its key (401, 403).
ROUTE_REFUSAL_STATUSES = (401, 403, 404)
# Bounds of the platform's settings. A fault excuses breaches of them until
# ``SETTLE_S`` after its end.
SETTLE_S = 3.0
CONFIGURATION_LIMIT_S = 2.0
ROUTE_TIMEOUT_S = 1.2
ANSWER_SLACK_S = 0.5


def check_answer(attempt):
    """Return a problem of a complete answer with status 200, or ``None``."""
    if attempt.status != 200 or not attempt.is_complete:
        return None
    if attempt.headers.get("x-pimentogap-attempt-id") != attempt.id:
        return f"answer belongs to another request: {attempt!r}"
    if "x-pimentogap-replica-seal" not in attempt.headers:
        return f"status 200 without a replica's seal: {attempt!r}"
    if attempt.kind in ("large", "small"):
        expected_body = "".join(
            f"id: {number}\ndata: {attempt.id}/{number}\n\n"
            for number in range(1, EVENTS_PER_STREAM + 1)
        )
        if attempt.body.decode() != expected_body:
            count = attempt.body.count(b"\n\n")
            return (
                f"stream with wrong, missing or reordered events, {count} of"
                f" {EVENTS_PER_STREAM}: {attempt!r}"
            )
    elif attempt.body.decode() != f"answer to {attempt.id}":
        return f"body differs from the replica's: {attempt!r}"
    return None


def check_runs(attempts, records):
    """Return non-idempotent requests that ran twice or despite a not-run refusal."""
    runs_by_id = {}
    for run in records.runs:
        runs_by_id.setdefault(run.attempt_id, []).append(run)
    problems = []
    for attempt in attempts:
        runs = runs_by_id.get(attempt.id, ())
        if attempt.kind == "book" and len(runs) > 1:
            problems.append(f"request ran {len(runs)} times: {attempt!r}")
        if attempt.kind == "book" and attempt.status in NOT_RUN_STATUSES and runs:
            problems.append(f"request was refused as not run, but it ran: {attempt!r}")
    return problems


def check_groups(records):
    """Return the breaches of the guarantees about groups that replicas recorded."""
    problems = [
        f"group served while incomplete: {item}"
        for item in records.runs_in_incomplete_groups
    ]
    return problems + [
        f"replica in two groups: {item}" for item in records.replicas_in_two_groups
    ]


def check_times(attempts, injector):
    """Return plain requests that lasted past the timeout at undisturbed daemons."""
    problems = []
    for attempt in attempts:
        if attempt.kind in ("large", "small") or attempt.ended_at is None:
            continue
        took_s = attempt.ended_at - attempt.sent_at
        if took_s > ROUTE_TIMEOUT_S + ANSWER_SLACK_S and not injector.was_disturbed(
            attempt.daemon, attempt.sent_at - SETTLE_S, attempt.ended_at
        ):
            problems.append(f"request outlasted its route's timeout: {attempt!r}")
    return problems


def check_stops(attempts, records, injector, leavings):
    """Return stops that took too long, and answers that planned work cut off.

    An answer counts if it is incomplete though a replica ran the request, and if
    only planned work disturbed the daemon. It does not if the replica that had it last
    left meanwhile, and broke it off.
    """
    run_ids = {run.attempt_id for run in records.runs}
    arrivals_by_id = _arrivals_by_id(records)
    problems = [
        f"{span.daemon}: {span.cause}"
        for span in injector.spans
        if span.cause == "stop that took too long"
    ]
    for attempt in attempts:
        if attempt.is_complete or attempt.ended_at is None or attempt.id not in run_ids:
            continue
        if attempt.has_left:
            continue
        if _was_broken_off(attempt, arrivals_by_id, leavings):
            continue
        started_at, ended_at = attempt.sent_at - SETTLE_S, attempt.ended_at
        has_fault = injector.was_disturbed(attempt.daemon, started_at, ended_at)
        if has_fault and not injector.was_disturbed(
            attempt.daemon, started_at, ended_at, planned=False
        ):
            problems.append(f"answer was cut off by planned work: {attempt!r}")
    return problems


def _arrivals_by_id(records):
    """Return the arrivals of each request at replicas, by its id, in order of time."""
    found_by_id = {}
    for arrival in sorted(records.arrivals, key=lambda item: item.arrived_at):
        found_by_id.setdefault(arrival.attempt_id, []).append(arrival)
    return found_by_id


def _was_broken_off(attempt, arrivals_by_id, leavings):
    """Return whether the replica that had ``attempt`` last exited before its end."""
    arrivals = [
        arrival
        for arrival in arrivals_by_id.get(attempt.id, ())
        if attempt.sent_at <= arrival.arrived_at <= attempt.ended_at
    ]
    if not arrivals:
        return False
    last = arrivals[-1]
    return any(
        leaving.replica == last.replica
        and last.arrived_at <= leaving.ended_at <= attempt.ended_at
        for leaving in leavings
    )


def check_logs(folder):
    """Return logged exceptions and critical entries, and lines that are not JSON."""
    problems = []
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                problems.append(f"{path.name}: {line[:200]}")
                continue
            if "exception" in entry or entry["level"] == "critical":
                problems.append(f"{path.name}: {line[-600:]}")
    return problems


class VersionWatch:
    """Checks how soon daemons apply configuration versions, and that none goes back.

    ``problems`` has a line for each breach. An instance is one process of a daemon.
    """

    __slots__ = ("problems", "_platform", "_callers", "_injector", "_seen_versions")

    def __init__(self, platform, callers, injector):
        self.problems = []
        self._platform = platform
        self._callers = callers
        self._injector = injector
        self._seen_versions = {}

    async def probe(self, daemon):
        """Request the newest version's route of ``daemon`` and check the answer."""
        newest = self._platform.versions[-1]
        instance = (daemon.name, daemon.start_count)
        asked_at = time.monotonic()
        status = await self._status(daemon, newest)
        still_newest = self._platform.versions[-1] is newest
        if not still_newest or status is None or instance[1] != daemon.start_count:
            return
        if status not in ROUTE_REFUSAL_STATUSES:
            if status != 503:
                self._seen_versions[instance] = newest.number
            return
        if self._seen_versions.get(instance, 0) >= newest.number:
            self.problems.append(f"{instance} lost route of version {newest.number}")
        now = time.monotonic()
        if (
            asked_at - newest.written_at > CONFIGURATION_LIMIT_S
            and self._is_undisturbed(daemon, asked_at, now)
        ):
            self.problems.append(
                f"{instance} answers {status} on the route of version {newest.number},"
                f" {now - newest.written_at:.1f} s after its write"
            )

    async def _status(self, daemon, version):
        path = VERSION_PATH.format(version.number) + "x"
        return (await self._callers.request_once(daemon, "look", path)).status

    def _is_undisturbed(self, daemon, asked_at, now):
        since = asked_at - SETTLE_S
        return daemon.started_at < since and not self._injector.was_disturbed(
            daemon, since, now, replicas=False
        )
