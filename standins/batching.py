"""A pool of model groups that batch requests in passes, and callers with one retry."""

import asyncio
import random
from types import SimpleNamespace

from pimentogap.admission import AdmissionService, Refused
from pimentogap.forwarding import CallerRequest
from pimentogap.forwarding._routes import Admitted
from pimentogap.kernel import Kernel
from pimentogap.metrics import MetricService
from pimentogap.occupancy import Counts, Others
from pimentogap.placement import Forward, PlacementService
from pimentogap.types import (
    Backend,
    BackendState,
    CallerLimits,
    EngineLoad,
    EngineSpec,
    EngineTimings,
    Membership,
    MemberState,
    ModelSpec,
    RequestNeeds,
    Route,
    RouteKind,
    ServiceSpec,
    ServingConfiguration,
    Split,
)

SERVICE, MODEL = "writer", "large"
SLOTS = 24
TIMINGS = EngineTimings(
    step_s=0.0065,
    per_sequence_s=0.0002,
    prompt_tokens_per_s=56000.0,
    stride=5,
    usual_prompt_tokens=800.0,
    usual_answer_tokens=140.0,
)
# Waiting requests beyond these are rejected.
QUEUE_LENGTH = 24
GIVE_UP_S = 2.0
RETRIES_AT_FULL = 2
STATEMENT_INTERVAL_S = 0.3


class Work:
    """One request at a group; ``first_event`` is a future, as is ``end``."""

    __slots__ = ("prompt_tokens", "tokens_left", "urgency", "first_event", "end")

    def __init__(self, prompt_tokens, answer_tokens, urgency):
        loop = asyncio.get_running_loop()
        self.prompt_tokens = prompt_tokens
        self.tokens_left = answer_tokens
        self.urgency = urgency
        self.first_event = loop.create_future()
        self.end = loop.create_future()


class BatchingGroup:
    """Runs up to `SLOTS` requests in passes of some steps, and queues others."""

    __slots__ = ("running", "waiting", "still_until", "_work_came")

    def __init__(self):
        self.still_until = 0.0
        self.running = []
        self.waiting = []
        self._work_came = asyncio.Event()

    def report(self):
        """Return the `EngineLoad` that answers carry."""
        return EngineLoad(len(self.running), len(self.waiting), SLOTS)

    def submit(self, work):
        """Queue ``work`` and return whether there was room for it."""
        if len(self.waiting) >= QUEUE_LENGTH:
            return False
        self.waiting.append(work)
        self._work_came.set()
        return True

    def drop(self, work):
        """Forget ``work``, whose caller has left."""
        for works in (self.running, self.waiting):
            if work in works:
                works.remove(work)

    async def run(self):
        """Make passes for ever."""
        while True:
            while not self.running and not self.waiting:
                self._work_came.clear()
                await self._work_came.wait()
            still_s = self.still_until - asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, still_s))
            await asyncio.sleep(self._begin_pass())
            for work in list(self.running):
                work.tokens_left -= TIMINGS.stride
                if not work.first_event.done():
                    work.first_event.set_result(None)
                if work.tokens_left <= 0:
                    self.running.remove(work)
                    work.end.set_result(None)

    def _begin_pass(self):
        self.waiting.sort(key=lambda work: work.urgency)
        joining = self.waiting[: SLOTS - len(self.running)]
        del self.waiting[: len(joining)]
        self.running += joining
        prompt_tokens = sum(work.prompt_tokens for work in joining)
        step_s = TIMINGS.step_s + TIMINGS.per_sequence_s * len(self.running)
        return prompt_tokens / TIMINGS.prompt_tokens_per_s + TIMINGS.stride * step_s


class Caller:
    """A caller's request, and when it got its first event, if it did."""

    __slots__ = (
        "route",
        "workspace",
        "prompt_tokens",
        "sent_at",
        "first_event_s",
        "refusals",
    )

    def __init__(self, route, workspace, prompt_tokens, sent_at):
        self.route = route
        self.workspace = workspace
        self.prompt_tokens = prompt_tokens
        self.sent_at = sent_at
        self.first_event_s = None
        self.refusals = 0

    @property
    def is_in_time(self):
        """Return whether the first event kept the route's objective."""
        return (
            self.first_event_s is not None
            and self.first_event_s <= self.route.first_byte_s
        )


class _Stub:
    """A service of which only some attributes are asked."""

    requires = ()

    def __init__(self, name, **attributes):
        self.name = name
        self.__dict__.update(attributes)

    async def start(self, kernel):
        pass

    async def stop(self):
        pass


class Board:
    """The statements that daemons make of their requests, and read of all others."""

    __slots__ = ("_statements_by_daemon", "_random")

    def __init__(self, rng):
        self._statements_by_daemon = {}
        self._random = rng

    async def exchange(self, daemon, tell, hear):
        """Make the statements of ``daemon``, and pass on those of all others."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(STATEMENT_INTERVAL_S * self._random.uniform(0.8, 1.2))
            hear(self._others(daemon, loop.time()))
            self._statements_by_daemon[daemon] = (tell(), loop.time())

    def _others(self, daemon, now):
        at_work_by_key, flows_by_model, ages_s = {}, {}, [0.0]
        for other, (counts, stated_at) in self._statements_by_daemon.items():
            if other == daemon:
                continue
            ages_s.append(now - stated_at)
            for key, count in counts.at_work_by_key.items():
                at_work_by_key[key] = at_work_by_key.get(key, 0) + count
            for key, flow in counts.flows_by_model.items():
                asked, sent = flows_by_model.get(key, (0, 0))
                flows_by_model[key] = (asked + flow[0], sent + flow[1])
        counts = Counts(at_work_by_key, flows_by_model, len(ages_s) - 1)
        return Others(counts, sum(ages_s) / len(ages_s))


class BatchingPool:
    """Groups of one model behind daemons that share them; ``callers`` has all requests.

    ``governed`` says whether the daemons admit by the cost of the groups. Callers
    who are refused repeat ``repeats`` times at once, and once when they are told to.
    """

    def __init__(self, *, groups, daemons, routes, seed=1, governed=True, repeats=0):
        self.groups = [BatchingGroup() for _ in range(groups)]
        self.routes = routes
        self.callers = []
        self.governed = governed
        self.repeats = repeats
        self.random = random.Random(seed)
        self._daemon_count = daemons
        self._kernels = []
        self._tasks = []

    async def start(self):
        """Start the groups and the daemons' services."""
        self._tasks += [asyncio.ensure_future(group.run()) for group in self.groups]
        backends = [
            Backend(
                id=f"i-{index}",
                service=SERVICE,
                address=f"10.0.0.{index}:80",
                availability_zone="z-a",
                state=BackendState.READY,
                slots=SLOTS,
                membership=Membership(f"g-{index}", 1, 0, MemberState.OPEN),
            )
            for index in range(len(self.groups))
        ]
        engine = EngineSpec(
            models=(ModelSpec(name=MODEL, size=1, share=1.0),),
            slots=SLOTS,
            timings=TIMINGS,
        )
        configuration = ServingConfiguration(
            version=1,
            routes=tuple(self.routes),
            services_by_name={SERVICE: ServiceSpec(name=SERVICE, engine=engine)},
            limits=CallerLimits(),
        )
        board = Board(self.random)
        for daemon in range(self._daemon_count):
            kernel = Kernel(seed=self.random.random())

            def attach(tell, hear, limits, daemon=daemon):
                exchange = board.exchange(daemon, tell, hear)
                self._tasks.append(asyncio.ensure_future(exchange))

            for service in (
                MetricService(),
                _Stub("occupancy", attach=attach),
                _Stub("directory", heads=lambda *_: backends, backends_by_id={}),
                _Stub("daemons", count=self._daemon_count, is_relay=lambda: False),
                _Stub("permits", next_in_s=lambda _: 0.0, is_limited=lambda _: False),
                _Stub("serving_configuration", current=configuration),
                PlacementService(scarce_room=self.governed),
                AdmissionService(SimpleNamespace(scarce_room=True)),
            ):
                kernel.register(service)
            await kernel.start()
            self._kernels.append(kernel)

    async def stop(self):
        """End the groups and daemons."""
        for task in self._tasks:
            task.cancel()
        for kernel in self._kernels:
            await kernel.stop()

    async def send(self, *, rate, for_s, route=None, prompt_tokens=800, workspace="w"):
        """Send requests with random gaps, ``rate`` a second for ``for_s`` seconds."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + for_s
        while True:
            await asyncio.sleep(self.random.expovariate(rate))
            if loop.time() >= ends_at:
                return
            caller = Caller(
                route or self.routes[0], workspace, prompt_tokens, loop.time()
            )
            self.callers.append(caller)
            self._tasks.append(asyncio.ensure_future(self._call(caller)))

    async def _call(self, caller):
        retry_s = await self._attempt(caller)
        for _ in range(self.repeats):
            if retry_s is not None:
                retry_s = await self._attempt(caller)
        if retry_s is not None:
            await asyncio.sleep(retry_s)
            await self._attempt(caller)

    async def _attempt(self, caller):
        """Make an attempt, and return the time to come back if it was refused."""
        kernel = self.random.choice(self._kernels)
        now = kernel.clock.time()
        left_s = caller.route.timeout_s - (now - caller.sent_at)
        request = CallerRequest(
            method="POST",
            path="/",
            host="",
            headers=[],
            body=b"",
            received_at=now,
            needs=RequestNeeds(
                attempt_id="a",
                deadline_s=left_s,
                model=MODEL,
                prompt_tokens=caller.prompt_tokens,
            ),
        )
        admitted = Admitted(caller.route, SERVICE, caller.workspace)
        excluded = set()
        for _ in range(RETRIES_AT_FULL):
            choice, claim, urgency = await self._place(
                kernel, request, admitted, now + left_s, excluded
            )
            if not isinstance(choice, Forward):
                break
            backend = choice.backend
            if await self._run(kernel, backend, claim, urgency, caller):
                return None
            excluded.add(backend.id)
        caller.refusals += 1
        return choice.return_s if isinstance(choice, Refused) else left_s / 4

    async def _place(self, kernel, request, admitted, deadline, excluded):
        placement, admission = kernel.get("placement"), kernel.get("admission")

        def choose():
            return placement.choose(SERVICE, MODEL, excluded=excluded)

        if not self.governed:
            return choose(), None, 5
        claim = admission.claim(request, admitted, deadline)
        choice, urgency = await admission.place(claim, choose)
        return choice, claim, urgency

    async def _run(self, kernel, backend, claim, urgency, caller):
        """Run a request to its end, and return whether the group took it."""
        clock = kernel.clock
        load = kernel.get("placement").load(backend)
        admission = kernel.get("admission")
        group = self.groups[int(backend.id[2:])]
        expected_s, began_at = admission.expected_s(claim, backend), clock.time()
        work = Work(caller.prompt_tokens, TIMINGS.usual_answer_tokens, urgency)
        if not group.submit(work):
            load.record_report(group.report(), clock.time())
            return False
        load.in_flight += 1
        try:
            await asyncio.wait({work.first_event}, timeout=GIVE_UP_S)
            if not work.first_event.done():
                group.drop(work)
                return True
            load.record_report(group.report(), clock.time())
            waited_s = clock.time() - began_at
            admission.record_first_event(claim, expected_s, waited_s)
            caller.first_event_s = clock.time() - caller.sent_at
            await work.end
            return True
        finally:
            load.in_flight -= 1
            admission.record_end(claim)


def capacity_per_s():
    """Return how many mean requests a second a group ends when it is full."""
    step_s = TIMINGS.step_s + TIMINGS.per_sequence_s * SLOTS
    read_s = TIMINGS.usual_prompt_tokens / TIMINGS.prompt_tokens_per_s
    return SLOTS / (TIMINGS.usual_answer_tokens * step_s + SLOTS * read_s)


def stream_route(name, *, objective_s, priority=0, timeout_s=6.0):
    """Return a route of streams to the pool."""
    return Route(
        name=name,
        host="h",
        path_prefix=f"/{name}/",
        kind=RouteKind.STREAMING,
        splits=(Split(SERVICE, 1.0),),
        timeout_s=timeout_s,
        first_byte_s=objective_s,
        carries_model=True,
        priority=priority,
    )
