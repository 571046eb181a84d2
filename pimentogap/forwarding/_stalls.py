"""Decides when an attempt counts as stalled."""

from pimentogap.types import RouteKind

# Stall timeouts of a stream, as multiples of the route's objectives for the first
# event and for the gap between events, and the least value of either.
FIRST_EVENT_STALL_FACTOR = 1.0
GAP_STALL_FACTOR = 1.5
MIN_STALL_TIMEOUT_S = 0.35
# The stall timeout of a stream is multiplied by this times the requests per slot, but
# never shortened: a backend server whose slots are all taken answers later than an
# idle one. It is not applied to a suspected backend server.
FULL_LOAD_STALL_FACTOR = 2.0
# Stall timeout of a stream from a suspected backend server, whatever the route's
# objectives and the load.
SUSPECT_STALL_TIMEOUT_S = 0.25
# A backend server that sent any answer's bytes within this time is working, and
# the stall timeout is extended up to the factor below.
RECENT_PROGRESS_S = 0.3
RECENT_PROGRESS_STALL_FACTOR = 2.5
# Stall timeout of an idempotent route, as a multiple of its first-byte objective.
IDEMPOTENT_STALL_FACTOR = 2.0


def stalled_at(route, receiver, load, latency, now):
    """Return when an attempt counts as stalled unless more of its answer arrives.

    Times are in seconds of the runtime's clock.

    :param receiver: the attempt's `AnswerReceiver`.
    :param load: the `BackendLoad` of its backend server.
    :param latency: the `ModelLatency` of its model.
    """
    if route.kind is RouteKind.IDEMPOTENT:
        return receiver.progress_at + IDEMPOTENT_STALL_FACTOR * route.first_byte_s
    timeout_s = _stream_timeout_s(route, receiver, load, latency, now)
    silent_until = receiver.progress_at + timeout_s
    # A backend server that answers other requests is alive, and this request may
    # merely be queued there.
    working_until = load.progress_at + RECENT_PROGRESS_S
    if silent_until < working_until:
        return min(
            working_until,
            receiver.progress_at + timeout_s * RECENT_PROGRESS_STALL_FACTOR,
        )
    return silent_until


def _stream_timeout_s(route, receiver, load, latency, now):
    if load.is_suspect(now):
        return SUSPECT_STALL_TIMEOUT_S
    if receiver.first_event_at is None:
        objective_s = FIRST_EVENT_STALL_FACTOR * route.first_byte_s
        timeout_s = latency.first_event_timeout_s(
            max(MIN_STALL_TIMEOUT_S, objective_s), now
        )
    else:
        objective_s = GAP_STALL_FACTOR * route.max_gap_s
        timeout_s = latency.gap_timeout_s(max(MIN_STALL_TIMEOUT_S, objective_s), now)
    return timeout_s * max(1.0, FULL_LOAD_STALL_FACTOR * load.requests_per_slot(now))
