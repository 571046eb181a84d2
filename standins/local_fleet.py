"""A fleet in one process: daemons, stand-ins, and faults on the links between them.

On the event loop of `standins.paused`, waiting takes no real time.
"""

import asyncio
from contextlib import asynccontextmanager

from pimentogap.errors import PeerUnreachable, ResponseLost
from pimentogap.programs import assemble
from pimentogap.settings import DaemonSettings, PeerSettings, Settings, StoreSettings
from pimentogap.store.http import HttpTransport
from standins._engines import EngineFleet, EngineTiming, WeightStore, make_vms
from standins._network import LocalNetwork
from standins._plain import PlainServer, PlainServiceState
from standins._platform import Platform

PLATFORM_ADDRESS = "10.0.0.1:1"
FLEET_KEY = "a-key-for-tests-only"
LINK_DELAY_S = 0.001


class Gate:
    """Holds back all traffic of a paused daemon.

    ``pause_count`` counts how often the daemon was paused.
    """

    __slots__ = ("pause_count", "_open")

    def __init__(self):
        self.pause_count = 0
        self._open = asyncio.Event()
        self._open.set()

    @property
    def is_paused(self):
        """Return whether the daemon is paused."""
        return not self._open.is_set()

    def pause(self):
        """Hold back all traffic from now on."""
        self.pause_count += 1
        self._open.clear()

    def resume(self):
        """Let the traffic held back, and all later traffic, through."""
        self._open.set()

    async def wait_until_open(self):
        """Wait until the daemon is not paused."""
        await self._open.wait()


class GatedClient:
    """An HTTP client that delays requests and answers while its daemon is paused."""

    __slots__ = ("_client", "_gate")

    def __init__(self, client, gate):
        self._client = client
        self._gate = gate

    async def fetch(self, address, request, *, timeout_s, fresh=False):
        """Send ``request`` and return the answer; a pause of the daemon delays both."""
        await self._gate.wait_until_open()
        response = await self._client.fetch(
            address, request, timeout_s=timeout_s, fresh=fresh
        )
        await self._gate.wait_until_open()
        return response

    async def exchange(self, address, request, receiver):
        """Send ``request``, after the pause if the daemon is paused."""
        await self._gate.wait_until_open()
        await self._client.exchange(address, request, receiver)


class LocalPeerNetwork:
    """Connects the daemons' transports by address, over links that can be cut.

    ``cut_links`` has pairs of addresses; a link is cut in both directions.
    """

    __slots__ = ("transports_by_address", "cut_links")

    def __init__(self):
        self.transports_by_address = {}
        self.cut_links = set()

    def is_cut(self, one, other):
        """Return whether the link between two addresses is cut."""
        return (one, other) in self.cut_links or (other, one) in self.cut_links


class LocalPeerTransport:
    """Sessions and calls within one process, with the interface of `GrpcTransport`."""

    __slots__ = (
        "_network",
        "_gate",
        "address",
        "accept_session",
        "answer_call",
        "_tasks",
    )

    def __init__(self, network, gate):
        self._network = network
        self._gate = gate
        self.address = None
        self.accept_session = None
        self.answer_call = None
        self._tasks = set()

    async def listen(self, address, accept_session, answer_call):
        """Accept sessions and calls to ``address`` from now on."""
        self.address = address
        self.accept_session = accept_session
        self.answer_call = answer_call
        self._network.transports_by_address[address] = self

    async def close(self):
        """Stop accepting sessions and calls, and cancel all accepted sessions."""
        if self._network.transports_by_address.get(self.address) is self:
            del self._network.transports_by_address[self.address]
        for task in list(self._tasks):
            task.cancel()

    @asynccontextmanager
    async def open_session(self, address):
        """Yield a session with the daemon at ``address``.

        :raises PeerUnreachable: if no daemon listens there or the link is cut.
        """
        await self._gate.wait_until_open()
        other = self._reachable_transport(address)
        here, there = _connected_sessions(self, other, self._network)
        task = asyncio.ensure_future(other.accept(there))
        other._tasks.add(task)
        task.add_done_callback(other._tasks.discard)
        try:
            yield here
        finally:
            here.end()

    async def accept(self, session):
        """Run a session that another daemon opened, until either side ends it."""
        try:
            await self.accept_session(session)
        except PeerUnreachable:
            pass
        finally:
            session.end()

    async def call(self, address, service, body, *, timeout_s):
        """Call ``service`` of the daemon at ``address`` and return its answer.

        :raises PeerUnreachable: if no daemon listens there or the link is cut.
        :raises ResponseLost: if the daemon ended, the link was cut or ``timeout_s``
            passed before the answer arrived; the call may have been executed.
        """
        await self._gate.wait_until_open()
        other = self._reachable_transport(address)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(LINK_DELAY_S)
                await other._gate.wait_until_open()
                if self._network.transports_by_address.get(address) is not other:
                    raise ResponseLost(f"the daemon at {address} has ended")
                answer = await asyncio.shield(
                    asyncio.ensure_future(other.answer_call(service, body))
                )
                await asyncio.sleep(LINK_DELAY_S)
                if self._network.is_cut(self.address, address):
                    raise ResponseLost(f"the link to {address} is cut")
        except TimeoutError:
            raise ResponseLost(f"no answer from {address} in time")
        await self._gate.wait_until_open()
        return answer

    def _reachable_transport(self, address):
        other = self._network.transports_by_address.get(address)
        if other is None or self._network.is_cut(self.address, address):
            raise PeerUnreachable(address)
        return other


class LocalSession:
    """One side of a session between two daemons."""

    __slots__ = (
        "_own_transport",
        "_peer_transport",
        "_network",
        "_inbox",
        "_outbox",
        "ended",
    )

    def __init__(self, own, other, network, inbox, outbox):
        self._own_transport = own
        self._peer_transport = other
        self._network = network
        self._inbox = inbox
        self._outbox = outbox
        self.ended = False

    async def send(self, entries):
        """Send ``entries``; they are lost if the link is cut.

        :raises PeerUnreachable: if this side has ended the session.
        """
        await self._own_transport._gate.wait_until_open()
        if self.ended:
            raise PeerUnreachable("the session has ended")
        if not self._network.is_cut(
            self._own_transport.address, self._peer_transport.address
        ):
            self._outbox.put_nowait(list(entries))

    async def receive(self):
        """Return the next entries.

        :raises PeerUnreachable: if the other side has ended the session.
        """
        entries = await self._inbox.get()
        await asyncio.sleep(LINK_DELAY_S)
        await self._own_transport._gate.wait_until_open()
        if entries is None:
            raise PeerUnreachable("the other side ended the session")
        return entries

    def end(self):
        """End this side; the other side's `receive` then raises `PeerUnreachable`."""
        if not self.ended:
            self.ended = True
            self._outbox.put_nowait(None)


class LocalDaemon:
    """One running daemon of the fleet, with the gate that pauses it."""

    __slots__ = ("index", "kernel", "gate", "transport", "incarnation", "settings")

    def __init__(self, index, kernel, gate, transport, incarnation, settings):
        self.index = index
        self.kernel = kernel
        self.gate = gate
        self.transport = transport
        self.incarnation = incarnation
        self.settings = settings

    def get(self, name):
        """Return one of the daemon's services."""
        return self.kernel.get(name)


class LocalFleet:
    """Daemons, the platform, engines and plain servers in one process.

    Daemons and VMs are spread over ``zones``. The engines of the VMs in the fabric
    domains named by ``unchecked_domains`` don't check fencing numbers.
    """

    __slots__ = (
        "platform",
        "engines",
        "plain_state",
        "plain_servers",
        "network",
        "peer_network",
        "daemons_by_index",
        "zones",
        "_seed",
        "_start_count",
        "_daemon_count",
    )

    def __init__(
        self,
        *,
        daemons=3,
        zones=("z-a", "z-b", "z-c"),
        seed=0,
        domains_per_zone=1,
        vms_per_domain=3,
        unchecked_domains=(),
        plain_servers=2,
        weight_bytes_per_s=20e9,
        timing=None,
    ):
        self.platform = Platform(seed=seed)
        self.network = LocalNetwork()
        self.peer_network = LocalPeerNetwork()
        self.network.handlers_by_address[PLATFORM_ADDRESS] = self.platform
        self.daemons_by_index = {}
        self.zones = zones
        self._seed = seed
        self._start_count = 0
        self._daemon_count = daemons
        self.engines = EngineFleet(
            timing=timing or EngineTiming(),
            weight_store=WeightStore(weight_bytes_per_s),
        )
        self.engines.on_change = self.platform.set_vms
        for vm in make_vms(
            region="r",
            zones=zones,
            domains_per_zone=domains_per_zone,
            vms_per_domain=vms_per_domain,
            host="10.0.1.1",
            first_port=1000,
        ):
            checks_fencing = vm.fabric_domain not in unchecked_domains
            engine = self.engines.add(vm, checks_fencing_number=checks_fencing)
            self.network.handlers_by_address[vm.address] = engine
        self.engines.publish()
        self.plain_state = PlainServiceState()
        self.plain_servers = [
            PlainServer(f"plain-{index}", self.plain_state)
            for index in range(plain_servers)
        ]
        for index, server in enumerate(self.plain_servers):
            self.network.handlers_by_address[f"10.0.2.1:{index + 1}"] = server

    async def start(self):
        """Start every daemon."""
        for index in range(self._daemon_count):
            await self.start_daemon(index)

    async def start_daemon(self, index):
        """Start daemon ``index`` as a new incarnation."""
        self._start_count += 1
        gate = Gate()
        settings = self._settings(index)
        transport = LocalPeerTransport(self.peer_network, gate)
        client = GatedClient(self.network.client(f"daemon-{index}"), gate)
        kernel = assemble(
            settings,
            http=client,
            store_transport=HttpTransport(client, PLATFORM_ADDRESS),
            peer_transport=transport,
            incarnation=self._start_count,
            seed=self._seed * 1000 + self._start_count,
        )
        daemon = LocalDaemon(
            index, kernel, gate, transport, self._start_count, settings.daemon
        )
        self.daemons_by_index[index] = daemon
        await kernel.start()
        return daemon

    async def kill_daemon(self, index):
        """End daemon ``index`` at once, without a graceful stop."""
        daemon = self.daemons_by_index.pop(index)
        await daemon.transport.close()
        await daemon.kernel.abort()

    async def stop_daemon(self, index):
        """Stop daemon ``index`` gracefully."""
        daemon = self.daemons_by_index.pop(index)
        await daemon.kernel.stop()

    async def close(self):
        """End every daemon, paused ones included."""
        for index in list(self.daemons_by_index):
            self.daemons_by_index[index].gate.resume()
            await self.kill_daemon(index)

    def cut_store(self, index):
        """Cut the link from daemon ``index`` to the platform's store."""
        self.network.cut_links.add((f"daemon-{index}", PLATFORM_ADDRESS))

    def partition(self, indexes):
        """Partition the daemons of ``indexes`` from all other daemons."""
        inside = {_peer_address(i) for i in indexes}
        outside = {_peer_address(i) for i in range(self._daemon_count)} - inside
        self.peer_network.cut_links |= {(a, b) for a in inside for b in outside}

    def heal(self):
        """Restore every link, between daemons and to the platform's store."""
        self.peer_network.cut_links.clear()
        self.network.cut_links.clear()

    def _settings(self, index):
        return Settings(
            daemon=DaemonSettings(
                id=f"daemon-{index}",
                region="r",
                availability_zone=self.zones[index % len(self.zones)],
                caller_address="10.0.3.1:1",
                operator_address="10.0.3.1:2",
                peer_address=_peer_address(index),
                balancer_notice=0.5,
            ),
            store=StoreSettings(address=PLATFORM_ADDRESS),
            peers=PeerSettings(
                seeds=tuple(
                    _peer_address(i) for i in range(min(3, self._daemon_count))
                ),
                fleet_key=FLEET_KEY,
            ),
        )


def _peer_address(index):
    return f"10.1.{index // 250}.{index % 250}:9"


def _connected_sessions(one, other, network):
    to_one, to_other = asyncio.Queue(), asyncio.Queue()
    here = LocalSession(one, other, network, to_one, to_other)
    there = LocalSession(other, one, network, to_other, to_one)
    return here, there
