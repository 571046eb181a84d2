"""Bounds the processor time that bodies in many small parts take."""

import asyncio
import heapq
import itertools

# A chunk costs about as much as this many bytes.
BYTES_PER_CHUNK = 1024
# So many chunks above that need no turn.
FREE_CHUNKS = 64
CHUNKS_PER_TURN = 32
TURN_S = 0.005
# A request needs about ten rounds of the event loop.
LOADED_ROUND_S = 0.02


class ChunkMeter:
    """Tells when a body has used up its turn; ``turns`` counts them.

    Bodies in large chunks need none.
    """

    __slots__ = ("turns", "_chunks", "_bytes")

    def __init__(self):
        self.turns = 0
        self._chunks = 0
        self._bytes = 0

    def record_bytes(self, size):
        """Count bytes of the body as they were received."""
        self._bytes += size

    def needs_turn(self, chunks=1):
        """Count ``chunks``; return whether they have to wait for the next turn."""
        before = self._chunks
        self._chunks += chunks
        if self._chunks - self._bytes // BYTES_PER_CHUNK <= FREE_CHUNKS:
            return False
        needs_turn = self._chunks // CHUNKS_PER_TURN > before // CHUNKS_PER_TURN
        self.turns += needs_turn
        return needs_turn


class ChunkTurns:
    """Gives costly bodies their turns with pauses between, those with fewest first."""

    __slots__ = ("_clock", "_only_under_load", "_order", "_waiting", "_is_busy")

    def __init__(self, clock, *, only_under_load=False):
        """Start with nobody waiting.

        :param only_under_load: whether turns are given only while the event loop takes
            long to come round; until then, bodies go on at once.
        """
        self._clock = clock
        self._only_under_load = only_under_load
        self._order = itertools.count()
        self._waiting = []
        self._is_busy = False

    async def wait(self, turns):
        """Return when the next turn begins of a body that has had so many ``turns``."""
        if self._only_under_load and await self._measure_round_s() < LOADED_ROUND_S:
            return
        if self._is_busy:
            began = asyncio.get_running_loop().create_future()
            heapq.heappush(self._waiting, (turns, next(self._order), began))
            try:
                await began
            except asyncio.CancelledError:
                if began.done() and not began.cancelled():
                    self._begin_next()
                raise
        self._is_busy = True
        try:
            await self._clock.sleep(TURN_S)
        finally:
            self._begin_next()

    async def _measure_round_s(self):
        """Let all others run once, and return how long that took."""
        began_at = self._clock.time()
        await self._clock.sleep(0)
        return self._clock.time() - began_at

    def _begin_next(self):
        self._is_busy = False
        while self._waiting and not self._is_busy:
            _, _, began = heapq.heappop(self._waiting)
            if not began.done():
                began.set_result(None)
                self._is_busy = True
