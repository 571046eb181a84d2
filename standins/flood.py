"""A backend server that sends bytes without end, as a process of its own."""

import asyncio
import contextlib
import subprocess
import sys

PART_BYTES = 64 * 1024
ID_FIELD = "X-Pimentogap-Attempt-Id: "
OK = "HTTP/1.1 200 OK\r\n"
SEAL = "X-Pimentogap-Replica-Seal: s\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
EVENTS = "Content-Type: text/event-stream\r\n"
ONE_BYTE_CHUNK = "1\r\nx\r\n"
# For each kind: what an answer begins with, ``{id}`` for the field with the request's
# id, and what follows again and again.
BEGIN_AND_PART_BY_KIND = {
    "a body without id and seal": (f"{OK}\r\n", "x"),
    "a failure without id and seal": ("HTTP/1.1 500 Failed\r\n\r\n", "x"),
    "a failure of its own": (f"HTTP/1.1 500 Failed\r\n{{id}}{SEAL}\r\n", "x"),
    "a refusal": (
        "HTTP/1.1 503 Full\r\n{id}X-Pimentogap-Not-Executed: 1\r\n\r\n",
        "x",
    ),
    "a body of its own": (f"{OK}{{id}}{SEAL}\r\n", "x"),
    "large chunks": (f"{OK}{{id}}{SEAL}{CHUNKED}\r\n", f"4000\r\n{'x' * 0x4000}\r\n"),
    "chunks of one byte": (f"{OK}{{id}}{SEAL}{CHUNKED}\r\n", ONE_BYTE_CHUNK),
    "one endless chunk": (f"{OK}{{id}}{SEAL}{CHUNKED}\r\nffffffffff\r\n", "x"),
    "a length of 10^12": (f"{OK}{{id}}{SEAL}Content-Length: {10**12}\r\n\r\n", "x"),
    "trailers": (f"{OK}{{id}}{SEAL}{CHUNKED}\r\n0\r\n", "Name: value\r\n"),
    "an endless chunk size": (f"{OK}{{id}}{SEAL}{CHUNKED}\r\n", "0"),
    "bytes that are no head": ("", "x"),
    "an endless header line": (f"{OK}Long: ", "x"),
    "headers": (OK, "Name: value\r\n"),
    "interim answers": ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    "a body of another request": (
        f"{OK}X-Pimentogap-Attempt-Id: other\r\n{SEAL}\r\n",
        "x",
    ),
    "bytes after a whole answer": (f"{OK}{{id}}{SEAL}Content-Length: 2\r\n\r\nok", "x"),
    "an event": (f"{OK}{{id}}{SEAL}{EVENTS}\r\ndata: ", "x"),
    "comments": (f"{OK}{{id}}{SEAL}{EVENTS}\r\n", ": still here\n\n"),
    "events without ids": (f"{OK}{{id}}{SEAL}{EVENTS}\r\n", "data: x\n\n"),
}


async def flood(kind, reader, writer):
    """Answer the first request on a connection with ``kind`` until it is closed."""
    begin, part = BEGIN_AND_PART_BY_KIND[kind]
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        id_ = head.partition(ID_FIELD)[2].partition("\r\n")[0]
        writer.write(begin.format(id=f"{ID_FIELD}{id_}\r\n").encode())
        parts = (part * max(1, PART_BYTES // len(part))).encode()
        while True:
            writer.write(parts)
            await writer.drain()
    writer.close()


async def serve(address, kind):
    """Serve ``address`` until the process is ended."""
    host, _, port = address.rpartition(":")

    async def accept(reader, writer):
        await flood(kind, reader, writer)

    server = await asyncio.start_server(accept, host, int(port), backlog=1024)
    print("listening", flush=True)
    await server.serve_forever()


class FloodProcess:
    """Runs `serve` in a process of its own while it is entered."""

    __slots__ = ("_address", "_kind", "_process")

    def __init__(self, address, kind):
        self._address = address
        self._kind = kind
        self._process = None

    def __enter__(self):
        command = [sys.executable, "-m", "standins.flood", self._address, self._kind]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self._process.stdout.readline()
        return self

    def __exit__(self, *error):
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()


if __name__ == "__main__":
    asyncio.run(serve(*sys.argv[1:]))
