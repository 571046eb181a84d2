"""Bounds the processor time that chunked bodies take."""

import asyncio
import heapq
import itertools

# A chunk costs about as much as this many bytes.
BYTES_PER_CHUNK = 1024
# So many chunks above that need no turn.
FREE_CHUNKS = 64
CHUNKS_PER_TURN = 32
TURN_S = 0.005


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

    def needs_turn(self):
        """Count a chunk; return whether it has to wait for the body's next turn."""
        self._chunks += 1
        is_costly = self._chunks - self._bytes // BYTES_PER_CHUNK > FREE_CHUNKS
        needs_turn = is_costly and self._chunks % CHUNKS_PER_TURN == 0
        self.turns += needs_turn
        return needs_turn


class ChunkTurns:
    """Gives costly bodies their turns with pauses between, those with fewest first."""

    __slots__ = ("_clock", "_order", "_waiting", "_is_busy")

    def __init__(self, clock):
        self._clock = clock
        self._order = itertools.count()
        self._waiting = []
        self._is_busy = False

    async def wait(self, turns):
        """Return when the next turn begins of a body that has had so many ``turns``."""
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

    def _begin_next(self):
        self._is_busy = False
        while self._waiting and not self._is_busy:
            _, _, began = heapq.heappop(self._waiting)
            if not began.done():
                began.set_result(None)
                self._is_busy = True
