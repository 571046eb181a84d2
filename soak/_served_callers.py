"""Callers of a run that measures service; a process of their own, open loop.

The arrivals depend on the seed alone, so that two runs can be compared.
"""

import asyncio
import json
import math
import random
import sys
import time
from pathlib import Path

from soak._shapes import read_shape
from standins.emulator._documents import HOST, KEY

CONNECT_TIMEOUT_S = 1.0
READINESS_TIMEOUT_S = 0.5
READINESS_INTERVAL_S = 1.0
MAX_MISSES = 2
# Callers wait at most this share of the time they have left before a retry.
MAX_WAIT_SHARE = 1 / 3
NOT_RUN_STATUSES = (408, 421, 429, 503)
FINAL_STATUSES = (400, 401, 404, 413, 431)
# Callers give up a stream after a gap of so many seconds, so many times the objective
# for the first event, or so many times that for a gap, whichever is longest.
MIN_GIVE_UP_S, FIRST_GIVE_UP_FACTOR, GAP_GIVE_UP_FACTOR = 2.0, 4.0, 8.0
# Of the logarithm of the numbers of tokens and events.
SIZE_SPREAD = 0.5
MAX_SIZE_FACTOR = 2.5
LAG_INTERVAL_S = 0.02
MIN_RETRY_S = 0.02


class Arrival:
    """One request as the seed draws it; ``at_s`` counts from the traffic's start."""

    __slots__ = ("number", "kind", "at_s", "client", "prompt_tokens", "events")

    def __init__(self, number, kind, at_s, client, prompt_tokens, events):
        self.number = number
        self.kind = kind
        self.at_s = at_s
        self.client = client
        self.prompt_tokens = prompt_tokens
        self.events = events


def draw_arrivals(shape, seed, seconds, *, rate=1.0):
    """Return the `Arrival` list of a run, sorted by time.

    :param rate: multiplies the requests a second of the shape.
    """
    arrivals = []
    for kind in shape.kinds:
        rng = random.Random(f"{seed}-{kind.name}")
        at_s = rng.expovariate(kind.per_s * rate)
        while at_s < seconds:
            arrivals.append(
                Arrival(
                    f"{kind.name}{len(arrivals)}",
                    kind,
                    at_s,
                    rng.randrange(shape.clients),
                    _draw_size(rng, kind.prompt_tokens),
                    _draw_size(rng, kind.events),
                )
            )
            at_s += rng.expovariate(kind.per_s * rate)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _draw_size(rng, mean):
    factor = rng.lognormvariate(-(SIZE_SPREAD**2) / 2, SIZE_SPREAD)
    return max(1, round(mean * min(MAX_SIZE_FACTOR, factor)))


class Attempt:
    """One attempt of a request; times are seconds of the monotonic clock.

    ``refusal`` is the reason that a daemon gave, ``error`` why the answer is not whole.
    """

    __slots__ = (
        "id",
        "daemon",
        "sent_at",
        "ended_at",
        "status",
        "headers",
        "refusal",
        "error",
        "is_complete",
        "is_new_connection",
    )

    def __init__(self, id_):
        self.id = id_
        self.daemon = None
        self.sent_at = time.monotonic()
        self.ended_at = None
        self.status = None
        self.headers = {}
        self.refusal = None
        self.error = None
        self.is_complete = False
        self.is_new_connection = True

    def record(self, begins_at):
        """Return the attempt as plain data, with times from ``begins_at``."""
        return {
            "id": self.id,
            "daemon": self.daemon,
            "at_s": round(self.sent_at - begins_at, 3),
            "ended_s": round(self.ended_at - begins_at, 3),
            "status": self.status,
            "refusal": self.refusal,
            "error": self.error,
            "new_connection": self.is_new_connection,
        }


class Progress:
    """What a caller has of one answer, over all attempts for it."""

    __slots__ = ("last_event", "first_at", "last_at", "longest_gap_s")

    def __init__(self):
        self.last_event = 0
        self.first_at = None
        self.last_at = None
        self.longest_gap_s = 0.0

    def add_event(self, number):
        """Record an event.

        :raises ValueError: if an event is missing or came before.
        """
        if number != self.last_event + 1:
            raise ValueError(f"event {number} after event {self.last_event}")
        now = time.monotonic()
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_at)
        self.last_event = number
        self.last_at = now


class Balancer:
    """The platform's: follows the daemons' readiness and picks one of the zone."""

    __slots__ = ("_daemons", "_misses_by_name")

    def __init__(self, daemons):
        self._daemons = daemons
        self._misses_by_name = {daemon["name"]: 0 for daemon in daemons}

    async def poll(self, daemon):
        """Check the readiness of one daemon until cancelled."""
        while True:
            if await self._is_ready(daemon):
                self._misses_by_name[daemon["name"]] = 0
            else:
                self._misses_by_name[daemon["name"]] += 1
            await asyncio.sleep(READINESS_INTERVAL_S)

    def pick(self, zone, rng, *, excluded=()):
        """Return a daemon for a new connection of a client in ``zone``.

        :param excluded: names of daemons that are only picked if there is no other.
        """
        local = [daemon for daemon in self._daemons if daemon["zone"] == zone]
        ready = [daemon for daemon in local if self._is_in_rotation(daemon)]
        if not ready:
            ready = [d for d in self._daemons if self._is_in_rotation(d)] or local
        elif len(ready) * 2 < len(local):
            ready = local
        others = [daemon for daemon in ready if daemon["name"] not in excluded]
        return rng.choice(others or ready)

    def _is_in_rotation(self, daemon):
        return self._misses_by_name[daemon["name"]] < MAX_MISSES

    async def _is_ready(self, daemon):
        try:
            async with asyncio.timeout(READINESS_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*daemon["readiness"])
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: d\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


class Client:
    """One client: its zone and its kept connections."""

    __slots__ = ("zone", "idle", "rng")

    def __init__(self, zone, rng):
        self.zone = zone
        self.idle = []
        self.rng = rng

    def take_idle(self):
        """Return a kept connection that is open, or ``None``."""
        while self.idle:
            connection = self.idle.pop()
            if not connection[1].at_eof() and not connection[2].is_closing():
                return connection
            connection[2].close()
        return None


class CallerProcess:
    """Sends the arrivals of its share of the clients and records each outcome."""

    __slots__ = ("_plan", "_shape", "_balancer", "_clients", "_lags", "_lines", "_end")

    def __init__(self, plan):
        self._plan = plan
        self._shape = read_shape(plan["shape"])
        self._balancer = Balancer(plan["daemons"])
        zones = sorted({daemon["zone"] for daemon in plan["daemons"]})
        self._clients = [
            Client(zones[index % len(zones)], random.Random(f"{plan['seed']}-{index}"))
            for index in range(self._shape.clients)
        ]
        self._lags = {}
        self._lines = []

    async def run(self):
        """Play the plan and write one line for each request to the output file."""
        plan = self._plan
        polls = [
            asyncio.ensure_future(self._balancer.poll(daemon))
            for daemon in plan["daemons"]
        ]
        polls.append(asyncio.ensure_future(self._watch_lag()))
        tasks = []
        for arrival in draw_arrivals(
            self._shape, plan["seed"], plan["seconds"], rate=plan["rate"]
        ):
            if arrival.client % plan["processes"] != plan["index"]:
                continue
            due = plan["begins_at"] + arrival.at_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.append(asyncio.ensure_future(self._serve(arrival)))
        await asyncio.gather(*tasks)
        for poll in polls:
            poll.cancel()
        self._lines.append(json.dumps({"lag_ms_by_second": self._lags}))
        text = "\n".join(self._lines) + "\n"
        Path(plan["output"]).write_text(text, encoding="utf-8")

    async def _watch_lag(self):
        """Record the latest wake-up of this process in each second, in ms."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            late_ms = (time.monotonic() - before - LAG_INTERVAL_S) * 1000
            second = math.floor(before - self._plan["begins_at"])
            self._lags[second] = round(max(self._lags.get(second, 0.0), late_ms), 1)

    async def _serve(self, arrival):
        began_at = time.monotonic()
        deadline = began_at + arrival.kind.deadline
        client = self._clients[arrival.client]
        progress = Progress()
        attempts = []
        while True:
            attempt = Attempt(f"{self._plan['seed']:x}{arrival.number}x{len(attempts)}")
            connection = None if attempts else client.take_idle()
            used = {earlier.daemon for earlier in attempts}
            await self._attempt(
                arrival, client, attempt, connection, used, progress, deadline
            )
            attempts.append(attempt)
            wait_s = self._retry_wait_s(arrival, attempts, deadline)
            if wait_s is None:
                break
            await asyncio.sleep(wait_s)
        self._record(arrival, attempts, progress, began_at)

    async def _attempt(
        self, arrival, client, attempt, connection, used, progress, deadline
    ):
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + deadline - time.monotonic()
            ):
                if connection is None:
                    daemon = self._balancer.pick(client.zone, client.rng, excluded=used)
                    attempt.daemon = daemon["name"]
                    async with asyncio.timeout(CONNECT_TIMEOUT_S):
                        reader, writer = await asyncio.open_connection(
                            *daemon["address"]
                        )
                    connection = (daemon, reader, writer)
                else:
                    attempt.is_new_connection = False
                    attempt.daemon = connection[0]["name"]
                await self._exchange(arrival, attempt, connection, progress, deadline)
        except TimeoutError:
            attempt.error = attempt.error or "deadline"
        except (OSError, EOFError, ValueError) as error:
            attempt.error = repr(error)
        finally:
            attempt.ended_at = time.monotonic()
            is_kept = attempt.headers.get("connection", "").lower() != "close"
            if attempt.is_complete and is_kept:
                client.idle.append(connection)
            elif connection is not None:
                connection[2].close()

    async def _exchange(self, arrival, attempt, connection, progress, deadline):
        _, reader, writer = connection
        writer.write(_head(arrival, attempt, progress, deadline - time.monotonic()))
        limit_s = _give_up_s(arrival.kind)
        try:
            async with asyncio.timeout(limit_s) as silence:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                line, *fields = head.strip().split("\r\n")
                pairs = (field.partition(":") for field in fields)
                attempt.headers = {n.lower(): v.strip() for n, _, v in pairs}
                attempt.status = int(line.split()[1])
                is_stream = arrival.kind.is_stream and attempt.status == 200
                if "chunked" in attempt.headers.get("transfer-encoding", ""):
                    events = progress if is_stream else None
                    body = await _read_chunks(reader, events, silence, limit_s)
                else:
                    size = int(attempt.headers.get("content-length", "0"))
                    body = await reader.readexactly(size)
                if attempt.status != 200:
                    attempt.refusal = body.decode("latin-1").strip()
        except TimeoutError:
            if silence.expired():
                attempt.error = f"silent for {limit_s:g} s"
            raise
        attempt.is_complete = True

    def _retry_wait_s(self, arrival, attempts, deadline):
        """Return the seconds until the next attempt, or ``None`` if there is none."""
        attempt = attempts[-1]
        left_s = deadline - time.monotonic()
        if len(attempts) > arrival.kind.retries or left_s < MIN_RETRY_S:
            return None
        if attempt.is_complete:
            if attempt.status == 200 or attempt.status in FINAL_STATUSES:
                return None
            is_promise = attempt.status in NOT_RUN_STATUSES
        else:
            # Nothing was sent if no connection was made.
            is_promise = attempt.status is None and attempt.is_new_connection
            is_promise = is_promise and "ConnectionRefused" in str(attempt.error)
        if arrival.kind.kind == "non_idempotent" and not is_promise:
            return None
        after_s = float(attempt.headers.get("retry-after", "0") or 0)
        return min(after_s, left_s * MAX_WAIT_SHARE)

    def _record(self, arrival, attempts, progress, began_at):
        begins_at = self._plan["begins_at"]
        attempt = attempts[-1]
        kind = arrival.kind
        first_at = progress.first_at or attempt.ended_at
        took_s = attempt.ended_at - began_at
        if attempt.is_complete and attempt.status == 200:
            is_late = first_at - began_at > kind.first_byte
            if kind.is_stream and progress.longest_gap_s > kind.max_gap:
                is_late = True
            outcome = "late" if is_late else "in_time"
            if kind.is_stream and progress.last_event != arrival.events:
                outcome = "failed"
                attempt.error = f"{progress.last_event} of {arrival.events} events"
        elif attempt.is_complete and attempt.status in NOT_RUN_STATUSES:
            outcome = "refused"
        elif attempt.error is not None and (
            "deadline" in attempt.error or "silent" in attempt.error
        ):
            outcome = "unanswered"
        else:
            outcome = "failed"
        self._lines.append(
            json.dumps(
                {
                    "number": arrival.number,
                    "kind": kind.name,
                    "second": math.floor(arrival.at_s),
                    "outcome": outcome,
                    "first_ms": round((first_at - began_at) * 1000),
                    "gap_ms": round(progress.longest_gap_s * 1000),
                    "took_ms": round(took_s * 1000),
                    "attempts": [each.record(begins_at) for each in attempts],
                }
            )
        )


def _head(arrival, attempt, progress, left_s):
    kind = arrival.kind
    method = "GET" if kind.kind == "idempotent" else "POST"
    fields = {
        "Host": HOST,
        "X-Pimentogap-Attempt-Id": attempt.id,
        "X-Pimentogap-Deadline-Ms": str(max(1, int(left_s * 1000))),
        "Authorization": f"Bearer {KEY}",
        "Content-Length": "0",
    }
    if kind.is_stream:
        fields["X-Pimentogap-Model"] = kind.model
        fields["X-Pimentogap-Token-Count"] = (
            f"{arrival.prompt_tokens},{arrival.events * 5}"
        )
        if progress.last_event:
            fields["Last-Event-Id"] = str(progress.last_event)
    lines = [f"{method} /{kind.name}/x HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def _read_chunks(reader, progress, silence, limit_s):
    """Read a chunked body and return it; each event extends the time of silence.

    :param progress: the `Progress` of a stream, whose events are not returned.
    """
    buffer = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        buffer += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return buffer
        if progress is None:
            continue
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            progress.add_event(int(event.split(b"\n")[0].removeprefix(b"id: ")))
        if events:
            silence.reschedule(asyncio.get_running_loop().time() + limit_s)


def _give_up_s(kind):
    if not kind.is_stream:
        return kind.deadline
    return max(
        MIN_GIVE_UP_S,
        FIRST_GIVE_UP_FACTOR * kind.first_byte,
        GAP_GIVE_UP_FACTOR * kind.max_gap,
    )


if __name__ == "__main__":
    plan_text = Path(sys.argv[1]).read_text(encoding="utf-8")
    asyncio.run(CallerProcess(json.loads(plan_text)).run())
