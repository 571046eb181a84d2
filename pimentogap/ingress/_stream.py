"""The stream of a caller's connection, which tells the intake what passes."""

import asyncio

from tornado.iostream import IOStream

from pimentogap.intake import ChunkMeter

MAX_BUFFER_BYTES = 16 * 2**20
READ_BYTES = 32 * 1024


class CallerStream(IOStream):
    """Reports bytes to the intake and lets costly chunked bodies wait for their turns.

    ``caller`` is the intake's `Caller` of this connection.
    """

    def __init__(self, connection, intake):
        super().__init__(
            connection, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=READ_BYTES
        )
        self.caller = None
        self._intake = intake
        self._meter = None

    def begin_chunks(self):
        """Count the chunks of the body that follows."""
        self._meter = ChunkMeter()

    def end_chunks(self):
        """Note that the body is complete."""
        self._meter = None

    def read_from_fd(self, buf):
        """Read as `IOStream` does, and report how much."""
        size = super().read_from_fd(buf)
        if size and self.caller is not None:
            self._intake.record_received(self.caller, size)
            if self._meter is not None:
                self._meter.record_bytes(size)
        return size

    def write_to_fd(self, data):
        """Write as `IOStream` does, and report how much."""
        size = super().write_to_fd(data)
        if size and self.caller is not None and self.caller.unsent:
            self._intake.record_sent(self.caller, size)
        return size

    def read_until(self, delimiter, max_bytes=None):
        """Read the size of a chunk, once the body may go on."""
        if self._meter is None or not self._meter.needs_turn():
            return super().read_until(delimiter, max_bytes)
        return asyncio.ensure_future(self._read_in_turn(delimiter, max_bytes))

    async def _read_in_turn(self, delimiter, max_bytes):
        await self._intake.turns.wait(self._meter.turns)
        return await super().read_until(delimiter, max_bytes)
