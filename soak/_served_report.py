"""Tables and verdict of a run that measures service."""

import json
from collections import Counter

OUTCOMES = ("in_time", "late", "refused", "failed", "unanswered")
# The targets: the share of requests that may be refused or failed beyond those of the
# undisturbed run, and the seconds after the trouble's end until all is as before.
MAX_LOST_SHARE = 0.03
RECOVERY_S = 12.0


def read_results(paths):
    """Return the requests and the lag by second, from the callers' output files."""
    requests, lag_ms_by_second = [], {}
    for path in paths:
        for line in path.read_text(encoding="utf-8").splitlines():
            data = json.loads(line)
            if "lag_ms_by_second" not in data:
                requests.append(data)
                continue
            for second, lag_ms in data["lag_ms_by_second"].items():
                known_ms = lag_ms_by_second.get(int(second), 0.0)
                lag_ms_by_second[int(second)] = max(known_ms, lag_ms)
    return requests, lag_ms_by_second


def tables(requests, lag_ms_by_second):
    """Return the lines of the tables by second, by kind and by reason."""
    lines = ["second   sent in_time  late refused failed unanswered  lag_ms"]
    for second in sorted({request["second"] for request in requests}):
        counts = Counter(r["outcome"] for r in requests if r["second"] == second)
        lag_ms = lag_ms_by_second.get(second, 0.0)
        lines.append(_row(str(second), counts) + f"  {lag_ms:6.0f}")
    lines.append("kind     sent in_time  late refused failed unanswered")
    for kind in dict.fromkeys(request["kind"] for request in requests):
        counts = Counter(r["outcome"] for r in requests if r["kind"] == kind)
        lines.append(_row(kind, counts))
    lines.append(_row("all", Counter(request["outcome"] for request in requests)))
    reasons = Counter(
        (request["kind"], request["outcome"], _reason(request))
        for request in requests
        if request["outcome"] not in ("in_time", "late")
    )
    for (kind, outcome, reason), count in reasons.most_common():
        lines.append(f"  {count:5} {kind} {outcome}: {reason}")
    return lines


def _row(name, counts):
    sent = sum(counts.values())
    return (
        f"{name:8} {sent:4} {counts['in_time']:7} {counts['late']:5}"
        f" {counts['refused']:7} {counts['failed']:6} {counts['unanswered']:10}"
    )


def _reason(request):
    parts = []
    for attempt in request["attempts"]:
        status, error = attempt["status"], attempt["error"]
        parts.append(f"{status or ''} {attempt['refusal'] or error or ''}".strip())
    return " | ".join(parts)


def judge(requests, undisturbed, *, trouble_ended_s, excused_numbers):
    """Return the problems of a run beside the undisturbed run of the same seed.

    :param trouble_ended_s: when the trouble ended, in seconds from the traffic's start.
    :param excused_numbers: numbers of requests whose daemon or replica was lost while
        they ran, and which may not be repeated.
    """
    problems = []
    for request in requests:
        if request["outcome"] == "unanswered" and (
            request["number"] not in excused_numbers
        ):
            problems.append(f"no answer: {_describe(request)}")
    lost = [r for r in requests if not _is_served(r)]
    lost_before = sum(not _is_served(request) for request in undisturbed)
    unexplained = [r for r in lost if r["number"] not in excused_numbers]
    excess = len(unexplained) - lost_before
    if excess > MAX_LOST_SHARE * len(requests):
        problems.append(
            f"{excess} of {len(requests)} requests not served beyond what was lost:"
            f" {excess / len(requests):.3f}, at most {MAX_LOST_SHARE}"
        )
    recovered_s = trouble_ended_s + RECOVERY_S
    late, late_before = (
        [r for r in run if r["second"] >= recovered_s]
        for run in (requests, undisturbed)
    )
    for outcome, is_good in (("served", _is_served), ("served in time", _is_in_time)):
        share, share_before = _share(late, is_good), _share(late_before, is_good)
        if share < share_before - MAX_LOST_SHARE:
            problems.append(
                f"{RECOVERY_S:g} s after the trouble {share:.3f} {outcome},"
                f" {share_before:.3f} undisturbed"
            )
    return problems


def _is_served(request):
    return request["outcome"] in ("in_time", "late")


def _is_in_time(request):
    return request["outcome"] == "in_time"


def _share(requests, is_good):
    if not requests:
        return 1.0
    return sum(is_good(request) for request in requests) / len(requests)


def _describe(request):
    daemons = [attempt["daemon"] for attempt in request["attempts"]]
    return (
        f"{request['number']} in second {request['second']} at {daemons}:"
        f" {_reason(request)}"
    )
