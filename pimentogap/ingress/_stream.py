"""The stream of a caller's connection, which tells the intake what passes."""

import asyncio
import socket

from logbook import Logger
from tornado.iostream import IOStream

from pimentogap.intake import ChunkMeter

log = Logger("ingress")

MAX_BUFFER_BYTES = 16 * 2**20
READ_BYTES = 32 * 1024
# The end of a head may straddle two reads.
HEAD_END_BYTES = 3
# What the kernel holds of a connection that is not read (it takes twice as much): of
# any, of one whose whole body has its memory, of one with a large body in chunks, and
# of one whose chunks are costly.
UNREAD_BYTES = 16 * 1024
ADMITTED_UNREAD_BYTES = 512 * 1024
CHUNKED_UNREAD_BYTES = 128 * 1024
COSTLY_UNREAD_BYTES = 4 * 1024


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
        self._unsent_bytes = 0
        self._searched_bytes = 0

    @property
    def is_chunked(self):
        """Whether a body in chunks is being read."""
        return self._meter is not None

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

    def write(self, data):
        """Write as `IOStream` does, and report what the caller has not taken."""
        self._unsent_bytes += len(data)
        written = super().write(data)
        if self._unsent_bytes and self.caller is not None:
            self._intake.add_unsent(
                self.caller, self._unsent_bytes - self.caller.unsent
            )
        return written

    def write_to_fd(self, data):
        """Write as `IOStream` does, and report how much."""
        size = super().write_to_fd(data)
        self._unsent_bytes -= size
        if self.caller is not None and self.caller.unsent:
            self._intake.record_sent(self.caller, size)
        return size

    def read_until_regex(self, regex, max_bytes=None):
        """Read a head as `IOStream` does."""
        self._searched_bytes = 0
        return super().read_until_regex(regex, max_bytes)

    def _find_read_pos(self):
        """Search only what is new, since a head may come byte by byte."""
        if self._read_regex is None:
            return super()._find_read_pos()
        begin = max(0, self._searched_bytes - HEAD_END_BYTES)
        self._searched_bytes = self._read_buffer_size
        found = self._read_regex.search(self._read_buffer, begin)
        end = found.end() if found else self._read_buffer_size
        self._check_max_bytes(self._read_regex, end)
        return end if found else None

    def read_until(self, delimiter, max_bytes=None):
        """Read the size of a chunk, once the body may go on."""
        if self._meter is None or not self._meter.needs_turn():
            return super().read_until(delimiter, max_bytes)
        return asyncio.ensure_future(self._read_in_turn(delimiter, max_bytes))

    def allow_unread(self, size):
        """Let the kernel hold up to about ``size`` bytes that were not read."""
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        except OSError as error:
            log.debug("receive buffer not set", error=str(error))

    async def _read_in_turn(self, delimiter, max_bytes):
        if self._meter.turns == 1:
            self.allow_unread(COSTLY_UNREAD_BYTES)
        await self._intake.turns.wait(self._meter.turns)
        return await super().read_until(delimiter, max_bytes)
