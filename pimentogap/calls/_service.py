"""The service through which daemons call each other."""

from logbook import Logger

from pimentogap.errors import ResponseLost

log = Logger("calls")


class CallService:
    """Listens on the daemon's inner address and hands calls to who answers them."""

    name = "calls"
    requires = ()
    __slots__ = ("address", "_transport", "_answers_by_name")

    def __init__(self, address, transport):
        """Listen on ``address`` by ``transport``."""
        self.address = address
        self._transport = transport
        self._answers_by_name = {}

    async def start(self, kernel):
        """Begin to listen."""
        await self._transport.listen(self.address, None, self._answer)

    async def stop(self):
        """Stop listening."""
        await self._transport.close()

    def register(self, name, answer):
        """Have the coroutine function ``answer`` take the calls named ``name``."""
        self._answers_by_name[name] = answer

    async def call(self, address, name, body, *, timeout_s):
        """Have the daemon at ``address`` answer ``body``, which is plain data.

        :raises PeerUnreachable: if nothing was sent.
        :raises ResponseLost: if no answer came.
        """
        answer = await self._transport.call(address, name, body, timeout_s=timeout_s)
        if not isinstance(answer, dict):
            raise ResponseLost(f"{address} gave no answer to {name}")
        return answer

    async def _answer(self, name, body):
        answer = self._answers_by_name.get(name)
        if answer is None:
            log.warning("call of no known name", call=name)
            return None
        return await answer(body)
