"""The service through which daemons call each other."""

from logbook import Logger

from pimentogap.errors import ResponseLost

log = Logger("calls")


class CallService:
    """Listens on the daemon's inner address and dispatches calls to their handlers."""

    name = "calls"
    requires = ()
    __slots__ = ("address", "_transport", "_handlers_by_name")

    def __init__(self, address, transport):
        """Bind the service to an address and a transport.

        :param address: the daemon's inner address, on which ``start`` listens.
        :param transport: an object with the coroutine functions ``listen``,
            ``call`` and ``close``.
        """
        self.address = address
        self._transport = transport
        self._handlers_by_name = {}

    async def start(self, kernel):
        """Start listening for calls of other daemons."""
        await self._transport.listen(self.address, None, self._dispatch)

    async def stop(self):
        """Stop listening."""
        await self._transport.close()

    def register(self, name, handler):
        """Register the handler of the calls named ``name``.

        :param handler: a coroutine function that gets the body of a call and
            returns the answer, a dictionary of plain data or a `SharedAnswer` of one.
        """
        self._handlers_by_name[name] = handler

    async def call(self, address, name, body, *, timeout_s):
        """Call the handler ``name`` of another daemon and return its answer.

        :param address: the inner address of that daemon.
        :param body: plain data for the handler.
        :param timeout_s: seconds after which the call fails.
        :raises PeerUnreachable: if nothing was sent.
        :raises ResponseLost: if no answer came; the call may have been handled.
        """
        answer = await self._transport.call(address, name, body, timeout_s=timeout_s)
        if not isinstance(answer, dict):
            raise ResponseLost(f"{address} gave no answer to {name}")
        return answer

    async def _dispatch(self, name, body):
        handler = self._handlers_by_name.get(name)
        if handler is None:
            log.warning("no handler for call", call=name)
            return None
        return await handler(body)
