"""Sessions and calls between daemons over grpclib."""

import asyncio
import hashlib
import hmac
import json
from contextlib import asynccontextmanager

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server
from logbook import Logger

from pimentogap.calls import (
    COMPRESSION,
    PersonalAnswer,
    SharedAnswer,
    decode_answer,
)
from pimentogap.errors import PeerRefused, PeerUnreachable, ResponseLost
from pimentogap.peers._encoding import decode_frame, encode_frame
from pimentogap.peers.proto.peers_grpc import FleetBase, FleetStub
from pimentogap.peers.proto.peers_pb2 import CallReply, CallRequest

log = Logger("peers.grpc")

CONNECT_TIMEOUT_S = 1.0
PROOF_HEADER = "fleet-proof"
SENDER_HEADER = "fleet-sender"
# Names the compression that the caller can undo; daemons of earlier versions send none.
ACCEPT_HEADER = "fleet-accept"


class GrpcTransport:
    """Opens sessions to other daemons and accepts theirs.

    The caller authenticates by an HMAC of its id under the fleet key; without a
    valid one it is rejected. ``bytes_sent`` and ``bytes_received`` count the frames
    of sessions, not the calls.
    """

    __slots__ = (
        "bytes_sent",
        "bytes_received",
        "_own_id",
        "_fleet_key",
        "_server",
        "_links_by_address",
    )

    def __init__(self, own_id, fleet_key):
        self.bytes_sent = 0
        self.bytes_received = 0
        self._own_id = own_id
        self._fleet_key = fleet_key.encode()
        self._server = None
        self._links_by_address = {}

    async def listen(self, address, accept_session, answer_call):
        """Serve ``address`` until `close`.

        :param accept_session: coroutine function called with each accepted
            `GrpcSession`.
        :param answer_call: coroutine function called with the name of a call and its
            decoded JSON body; returns the answer, plain data or a `SharedAnswer`.
        """
        host, _, port = address.rpartition(":")
        handler = _Handler(self, accept_session, answer_call)
        self._server = Server([handler])
        await self._server.start(host.strip("[]"), int(port))

    async def close(self):
        """Stop listening and end every connection."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        for link in self._links_by_address.values():
            link.channel.close()
        self._links_by_address.clear()

    @asynccontextmanager
    async def open_session(self, address):
        """Yield a `GrpcSession` with the daemon at ``address``.

        :raises PeerUnreachable: if the connection cannot be made, or fails.
        :raises PeerRefused: if the peer rejects this daemon's fleet key.
        """
        channel = _channel(address)
        try:
            stub = FleetStub(channel)
            async with stub.Exchange.open(metadata=self._metadata()) as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_request()
                yield GrpcSession(stream, self)
                await stream.cancel()
        except GRPCError as error:
            if error.status is Status.UNAUTHENTICATED:
                raise PeerRefused(address)
            raise PeerUnreachable(f"{address}: {error!r}")
        except (OSError, TimeoutError, StreamTerminatedError) as error:
            raise PeerUnreachable(f"{address}: {error!r}")
        finally:
            channel.close()

    async def call(self, address, service, body, *, timeout_s):
        """Call the daemon at ``address`` and return its decoded answer.

        :param service: the name of the call, by which the daemon finds its handler.
        :param body: plain data, to be encoded as JSON.
        :param timeout_s: seconds to wait for the answer once connected.

        :raises PeerUnreachable: if nothing was sent.
        :raises ResponseLost: if no answer arrived, or one that cannot be decoded; the
            call may have been handled.
        """
        link = self._links_by_address.get(address)
        if link is None:
            link = self._links_by_address[address] = _Link(_channel(address))
        link.calls_in_flight += 1
        try:
            return await self._call(link.channel, address, service, body, timeout_s)
        except (PeerUnreachable, ResponseLost):
            # The connection may be dead without a reset; the next call opens another.
            # Calls in flight on this one, such as a large answer, may go on.
            if self._links_by_address.get(address) is link:
                del self._links_by_address[address]
            link.is_dropped = True
            raise
        finally:
            link.calls_in_flight -= 1
            if link.is_dropped and not link.calls_in_flight:
                link.channel.close()

    async def _call(self, channel, address, service, body, timeout_s):
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await channel.__connect__()
        except (OSError, TimeoutError) as error:
            raise PeerUnreachable(f"{address}: {error!r}")
        request = CallRequest(service=service, body=json.dumps(body).encode())
        metadata = {**self._metadata(), ACCEPT_HEADER: COMPRESSION}
        try:
            reply = await FleetStub(channel).Call(
                request, timeout=timeout_s, metadata=metadata
            )
            return decode_answer(reply.body)
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError) as error:
            raise ResponseLost(f"{address}: {error!r}")
        except ValueError as error:
            raise ResponseLost(f"{address}: the answer cannot be decoded: {error}")

    def admits(self, metadata):
        """Return whether ``metadata`` has a valid proof of the fleet key."""
        sender = metadata.get(SENDER_HEADER, "")
        proof = metadata.get(PROOF_HEADER, "")
        return hmac.compare_digest(str(proof), self._proof(str(sender)))

    def _metadata(self):
        return {SENDER_HEADER: self._own_id, PROOF_HEADER: self._proof(self._own_id)}

    def _proof(self, sender):
        return hmac.new(self._fleet_key, sender.encode(), hashlib.sha256).hexdigest()


class GrpcSession:
    """Sends and receives lists of entries on one stream."""

    __slots__ = ("_stream", "_transport")

    def __init__(self, stream, transport):
        self._stream = stream
        self._transport = transport

    async def send(self, entries):
        """Send ``entries`` as one frame.

        :raises PeerUnreachable: if the session has ended.
        """
        frame = encode_frame(entries)
        self._transport.bytes_sent += frame.ByteSize()
        try:
            await self._stream.send_message(frame)
        except (GRPCError, StreamTerminatedError, OSError) as error:
            raise PeerUnreachable(repr(error))

    async def receive(self):
        """Return the entries of the next frame.

        :raises PeerUnreachable: if the session has ended.
        """
        try:
            frame = await self._stream.recv_message()
        except (StreamTerminatedError, OSError) as error:
            raise PeerUnreachable(repr(error))
        if frame is None:
            raise PeerUnreachable("the peer ended the session")
        self._transport.bytes_received += frame.ByteSize()
        return decode_frame(frame)


class _Handler(FleetBase):
    """Serves the fleet's gRPC service to callers that have the fleet key."""

    __slots__ = ("_transport", "_accept_session", "_answer_call")

    def __init__(self, transport, accept_session, answer_call):
        self._transport = transport
        self._accept_session = accept_session
        self._answer_call = answer_call

    async def Exchange(self, stream):  # noqa: N802
        self._authenticate(stream)
        try:
            await self._accept_session(GrpcSession(stream, self._transport))
        except PeerUnreachable:
            pass

    async def Call(self, stream):  # noqa: N802
        self._authenticate(stream)
        request = await stream.recv_message()
        answer = await self._answer_call(request.service, json.loads(request.body))
        if not isinstance(answer, SharedAnswer | PersonalAnswer):
            answer = SharedAnswer(answer)
        compressed = stream.metadata.get(ACCEPT_HEADER) == COMPRESSION
        await stream.send_message(CallReply(body=answer.encode(compressed)))

    def _authenticate(self, stream):
        if not self._transport.admits(stream.metadata):
            sender = stream.metadata.get(SENDER_HEADER, "")
            log.warning(
                "rejected peer {!r}: its proof of the fleet key is not valid", sender
            )
            raise GRPCError(Status.UNAUTHENTICATED, "not a daemon of this fleet")


class _Link:
    """A connection to another daemon and the number of calls that wait on it."""

    __slots__ = ("channel", "calls_in_flight", "is_dropped")

    def __init__(self, channel):
        self.channel = channel
        self.calls_in_flight = 0
        self.is_dropped = False


def _channel(address):
    host, _, port = address.rpartition(":")
    return Channel(host.strip("[]"), int(port))
