"""Replicas that leave: how they do so, and the check that they get no more requests."""

import asyncio
import random
import time
from dataclasses import dataclass

from soak._spans import Scope

# Bound of the platform's settings; a leaving replica serves on for this long at least.
DRAIN_LIMIT_S = 2.0
STABLE_WINDOW_S = 3.0
SERVES_ON_RANGE_S = (0.2, 3.0)
DOWN_RANGE_S = (0.2, 1.5)
# A replica reports that it is draining, or its entry is removed without that, or its
# answers say that it leaves while its entry says nothing.
LEAVING_MANNERS = ("draining", "unlisted", "saying")
# What the store lists matters most to a daemon that has just lost it.
MANNERS_AFTER_CUT = ("draining", "unlisted", "unlisted")
FIRST_LEAVE_S = 2.0
SECONDS_PER_LEAVE = 4.0
CUT_PROBABILITY = 0.5
CUT_DURATION_RANGE_S = (1.5, 6.0)
LEAVE_AFTER_CUT_RANGE_S = (0.0, 2.5)
PLAIN_SHARE = 0.7
SEAL = "x-pimentogap-replica-seal"
# Faults that end a daemon's knowledge of what it passed on.
RESTARTS = ("stop", "stop that took too long", "kill", "pause")


@dataclass(frozen=True, slots=True)
class Leave:
    """Planned: ``replicas`` leave at once, in one of the `LEAVING_MANNERS`.

    They serve on for ``serves_on_s``, exit, and start again after ``down_s``.
    """

    manner: str
    replicas: tuple
    serves_on_s: float
    down_s: float


@dataclass(frozen=True, slots=True)
class CutFromStore:
    """One daemon is cut off from the store, in one direction or in both."""

    index: int
    towards_store: bool
    from_store: bool
    duration_s: float


class Leaving:
    """One replica's leaving, acknowledged by the store at ``at``.

    ``ended_at`` is when it exited. Times are of the monotonic clock.
    """

    __slots__ = ("replica", "manner", "at", "ended_at")

    def __init__(self, replica, manner):
        self.replica = replica
        self.manner = manner
        self.at = time.monotonic()
        self.ended_at = float("inf")


def schedule_leaves(seed, seconds, *, plain, models, daemons):
    """Return when replicas leave, and cuts of single daemons that end just before.

    :param plain: the ids of the plain replicas.
    :param models: the ids of the model replicas.
    :param daemons: the number of daemons.
    :return: pairs of time and fault.
    """
    rng = random.Random(f"leave-{seed}")
    count = max(2, int(seconds / SECONDS_PER_LEAVE))
    faults = []
    for _ in range(count):
        at = rng.uniform(FIRST_LEAVE_S, seconds)
        if rng.random() < CUT_PROBABILITY:
            cut = _draw_cut(rng, daemons)
            faults.append((at, cut))
            at += cut.duration_s + rng.uniform(*LEAVE_AFTER_CUT_RANGE_S)
            faults.append((at, _draw_leave(rng, plain, plain, MANNERS_AFTER_CUT)))
        else:
            faults.append((at, _draw_leave(rng, plain, models, LEAVING_MANNERS)))
    return sorted(faults, key=lambda item: item[0])


def _draw_cut(rng, daemons):
    directions = rng.choice(((True, True), (True, False), (False, True)))
    return CutFromStore(
        rng.randrange(daemons), *directions, rng.uniform(*CUT_DURATION_RANGE_S)
    )


def _draw_leave(rng, plain, models, manners):
    ids = plain if rng.random() < PLAIN_SHARE else models
    chosen = rng.sample(sorted(ids), rng.choice((1, 1, 2)))
    serves_on_s = DRAIN_LIMIT_S + rng.uniform(*SERVES_ON_RANGE_S)
    manner = rng.choice(manners)
    return Leave(manner, tuple(chosen), serves_on_s, rng.uniform(*DOWN_RANGE_S))


async def leave(platform, fault):
    """Let the replicas of a `Leave` leave, exit and start again."""
    replicas = [
        replica
        for id_ in fault.replicas
        if platform.is_undisturbed(replica := platform.replica(id_))
    ]
    for replica in replicas:
        _announce(platform, replica, fault.manner)
    await asyncio.sleep(fault.serves_on_s)
    for replica in replicas:
        platform.exit(replica)
    await asyncio.sleep(fault.down_s)
    for replica in replicas:
        platform.restart(replica)


def _announce(platform, replica, manner):
    platform.record_leaving(replica, manner)
    match manner:
        case "draining":
            replica.leave()
        case "unlisted":
            replica.leave(silently=True)
            platform.store.remove("servers", replica.id)
        case "saying":
            replica.says_leaving = True


def check_leaving(platform, attempts, injector, daemons):
    """Return requests that reached replicas which leave, later than `DRAIN_LIMIT_S`.

    Only a daemon that was out of touch with the store or its callers is excused, and a
    replica whose link was disturbed.
    """
    attempts_by_id = {}
    for attempt in attempts:
        attempts_by_id.setdefault(attempt.id, []).append(attempt)
    problems = []
    for leaving in platform.leavings:
        if leaving.manner == "saying":
            known_at_by_daemon = _told_at_by_daemon(platform, attempts_by_id, leaving)
        elif any(_was_in_touch(injector, d, leaving.at, leaving.at) for d in daemons):
            known_at_by_daemon = {daemon.name: leaving.at for daemon in daemons}
        else:
            continue
        for arrival in platform.records.arrivals:
            if arrival.replica != leaving.replica:
                continue
            if not leaving.at + DRAIN_LIMIT_S < arrival.arrived_at <= leaving.ended_at:
                continue
            problems += [
                f"{attempt!r} reached {leaving.replica},"
                f" {arrival.arrived_at - known_at_by_daemon[attempt.daemon.name]:.3f} s"
                f" after its leaving ({leaving.manner}) was known"
                for attempt in attempts_by_id.get(arrival.attempt_id, ())
                if attempt.sent_at <= arrival.arrived_at
                and attempt.daemon.name in known_at_by_daemon
                and _is_late(injector, leaving, known_at_by_daemon, attempt, arrival)
            ]
    return problems


def _told_at_by_daemon(platform, attempts_by_id, leaving):
    """Return when each daemon first passed on an answer that said so."""
    servers_by_seal = {answer.seal: answer.server for answer in platform.answers}
    told_at_by_daemon = {}
    for attempt_id, replica in platform.records.leaving_answers:
        if replica != leaving.replica:
            continue
        for attempt in attempts_by_id.get(attempt_id, ()):
            # A daemon may have dropped that answer and passed on another server's.
            seal = attempt.headers.get(SEAL, "")
            server = servers_by_seal.get(seal, seal.removeprefix("seal-"))
            is_own = attempt.is_complete and server == replica
            if is_own and attempt.ended_at >= leaving.at:
                name = attempt.daemon.name
                known_at = told_at_by_daemon.get(name, float("inf"))
                told_at_by_daemon[name] = min(known_at, attempt.ended_at)
    return told_at_by_daemon


def _is_late(injector, leaving, known_at_by_daemon, attempt, arrival):
    daemon = attempt.daemon
    known_at = known_at_by_daemon[daemon.name]
    if leaving.manner == "saying":
        return attempt.sent_at > known_at + DRAIN_LIMIT_S and not any(
            span.daemon in (None, daemon.name)
            and span.cause in (*RESTARTS, "stall of the machine")
            and span.started_at <= arrival.arrived_at
            and span.ended_at >= known_at
            for span in injector.spans
        )
    was_held_up = any(
        span.cause == "replica link"
        and span.started_at <= arrival.arrived_at
        and span.ended_at >= arrival.arrived_at - STABLE_WINDOW_S
        for span in injector.spans
    )
    return not was_held_up and _was_in_touch(
        injector, daemon, attempt.sent_at, arrival.arrived_at
    )


def _was_in_touch(injector, daemon, since, until):
    """Return whether ``daemon`` was in touch from ``since`` to ``until``."""
    return not any(
        span.scope is Scope.DAEMON
        and span.daemon in (None, daemon.name)
        and span.started_at <= until
        and span.ended_at >= since - STABLE_WINDOW_S
        for span in injector.spans
    )
