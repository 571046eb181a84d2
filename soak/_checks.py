"""The platform's promises, judged by what callers and replicas have seen."""

import json
import time

from soak._platform import VERSION_PATH

EVENTS = 27
PROMISES = (408, 421, 429, 503)
OWN_ROUTE_REFUSALS = (401, 403, 404)
# Bounds of the platform's settings, in seconds.
STABLE_S = 3.0
CONFIGURATION_S = 2.0
DRAIN_S = 2.0
ROUTE_TIMEOUT_S = 1.2
ANSWER_SLACK_S = 0.5


def check_answer(attempt):
    """Return what is wrong with the answer that a caller got, if anything."""
    if attempt.status != 200 or not attempt.whole:
        return None
    if attempt.headers.get("x-pimentogap-attempt-id") != attempt.id:
        return f"answer of another request: {attempt!r}"
    if "x-pimentogap-replica-seal" not in attempt.headers:
        return f"success without a seal: {attempt!r}"
    if attempt.kind in ("large", "small"):
        wanted = "".join(
            f"id: {number}\ndata: {attempt.id}/{number}\n\n"
            for number in range(1, EVENTS + 1)
        )
        if attempt.body.decode() != wanted:
            return f"stream that is not whole and in order: {attempt!r}"
    elif attempt.body.decode() != f"answer to {attempt.id}":
        return f"body that is not the replica's: {attempt!r}"
    return None


def check_runs(attempts, records):
    """Return attempts that ran twice, or although they were refused as not run."""
    runs_by_id = {}
    for run in records.runs:
        runs_by_id.setdefault(run.attempt_id, []).append(run)
    problems = []
    for attempt in attempts:
        runs = runs_by_id.get(attempt.id, ())
        if attempt.kind == "book" and len(runs) > 1:
            problems.append(f"ran {len(runs)} times: {attempt!r}")
        if attempt.kind == "book" and attempt.status in PROMISES and runs:
            problems.append(f"was said not to have run: {attempt!r}")
    return problems


def check_groups(records):
    """Return every breach that the replicas themselves have seen."""
    problems = [f"served while incomplete: {item}" for item in records.partial]
    return problems + [f"in two groups: {item}" for item in records.two]


def check_times(attempts, injector):
    """Return plain requests that calm daemons held past their route's timeout."""
    problems = []
    for attempt in attempts:
        if attempt.kind in ("large", "small") or attempt.ended_at is None:
            continue
        took_s = attempt.ended_at - attempt.sent_at
        if took_s > ROUTE_TIMEOUT_S + ANSWER_SLACK_S and not injector.disturbed(
            attempt.daemon, attempt.sent_at - STABLE_S, attempt.ended_at
        ):
            problems.append(f"no answer by the timeout: {attempt!r}")
    return problems


def check_stops(attempts, records, injector):
    """Return requests that a planned stop cut off, though nothing else was wrong."""
    run_ids = {run.attempt_id for run in records.runs}
    problems = [
        f"{span.daemon}: {span.what}"
        for span in injector.spans
        if span.what == "stop that took too long"
    ]
    for attempt in attempts:
        if attempt.whole or attempt.ended_at is None or attempt.id not in run_ids:
            continue
        began_at, ended_at = attempt.sent_at - STABLE_S, attempt.ended_at
        stopped = injector.disturbed(attempt.daemon, began_at, ended_at)
        if stopped and not injector.disturbed(
            attempt.daemon, began_at, ended_at, planned=False
        ):
            problems.append(f"cut off by planned work: {attempt!r}")
    return problems


def check_drains(platform, injector, daemons):
    """Return runs at replicas that were draining for longer than the bound."""
    problems = []
    for id_, drained_at in platform.drained_at_by_id.items():
        last = drained_at + DRAIN_S + ANSWER_SLACK_S
        calm = not any(
            injector.disturbed(daemon, drained_at - STABLE_S, last, planned=False)
            for daemon in daemons
        )
        late = [r for r in platform.records.runs if r.replica == id_ and r.at > last]
        if late and calm:
            problems.append(f"{len(late)} runs at {id_}, which drains")
    return problems


def check_logs(folder):
    """Return errors that daemons logged, and lines that are not JSON."""
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
    """Asks daemons for the routes of versions, and notes what breaks the bounds."""

    __slots__ = ("problems", "_platform", "_callers", "_injector", "_seen_by_life")

    def __init__(self, platform, callers, injector):
        self.problems = []
        self._platform = platform
        self._callers = callers
        self._injector = injector
        self._seen_by_life = {}

    async def ask(self, daemon):
        """Ask ``daemon`` for the newest version's route and for the one before."""
        newest = self._platform.written[-1]
        life = (daemon.name, daemon.lives)
        asked_at = time.monotonic()
        status = await self._status(daemon, newest)
        still_newest = self._platform.written[-1] is newest
        if not still_newest or status is None or life[1] != daemon.lives:
            return
        if status not in OWN_ROUTE_REFUSALS:
            if status != 503:
                self._seen_by_life[life] = newest.version
            return
        if self._seen_by_life.get(life, 0) >= newest.version:
            self.problems.append(f"{life} went back behind version {newest.version}")
        now = time.monotonic()
        if asked_at - newest.at > CONFIGURATION_S and self._calm(daemon, asked_at, now):
            self.problems.append(
                f"{life} answers {status} for version {newest.version},"
                f" {now - newest.at:.1f} s old"
            )

    async def _status(self, daemon, written):
        path = VERSION_PATH.format(written.version) + "x"
        return (await self._callers.ask_once(daemon, "look", path)).status

    def _calm(self, daemon, asked_at, now):
        since = asked_at - STABLE_S
        return daemon.started_at < since and not self._injector.disturbed(
            daemon, since, now, replicas=False
        )
