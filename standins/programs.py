"""The development program that runs all stand-ins of one deployment."""

import argparse
import asyncio
import json
import sys
from dataclasses import dataclass

from pimentogap.errors import InvalidDocument
from pimentogap.schema import (
    Address,
    Integer,
    Listing,
    Number,
    Record,
    Text,
    check,
    name_shape,
    shaped,
)
from pimentogap.schema.yaml_text import read_yaml
from standins._engines import EngineFleet, EngineTiming, WeightStore, make_vms
from standins._network import SocketServer, split_path
from standins._plain import PlainServer, PlainServiceState
from standins._platform import Platform


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainStandin:
    """One plain service, whose servers listen on consecutive ports."""

    name: str = shaped(name_shape())
    servers: int = shaped(Integer("servers", 1, 100))
    first_port: int = shaped(Integer("port", 1024, 65535))


@dataclass(frozen=True, slots=True, kw_only=True)
class StandinSettings:
    """The settings of all stand-ins of one deployment."""

    host: str = shaped(Text(r"127\.0\.0\.\d+", "a loopback IP number", 15))
    platform_address: str = shaped(Address())
    region: str = shaped(name_shape())
    availability_zones: tuple = shaped(Listing(name_shape(), 6))
    domains_per_zone: int = shaped(Integer("fabric domains", 1, 64))
    vms_per_domain: int = shaped(Integer("VMs", 1, 256))
    first_vm_port: int = shaped(Integer("port", 1024, 65535))
    unchecked_domains: tuple = shaped(Listing(name_shape()), default=())
    step_ms: float = shaped(Number("ms", 0.01, 10000), default=20.0)
    plain: tuple = shaped(Listing(Record(PlainStandin)), default=())


class ControlPanel:
    """An HTTP API that controls VMs and returns the stand-ins' own records.

    It kills and restarts VMs and marks them as leaving.
    """

    __slots__ = ("_fleet", "_states_by_name", "_servers_by_vm")

    def __init__(self, fleet, states_by_name, servers_by_vm):
        self._fleet = fleet
        self._states_by_name = states_by_name
        self._servers_by_vm = servers_by_vm

    async def handle(self, request, reply):
        """Answer one HTTP request."""
        path, query = split_path(request)
        match path:
            case "/kill":
                self._fleet.kill(query["vm"])
                await self._servers_by_vm[query["vm"]].close()
                data = {}
            case "/restart":
                self._fleet.restart(query["vm"])
                engine = self._fleet.engines_by_vm[query["vm"]]
                self._servers_by_vm[query["vm"]].listen(engine.vm.address)
                data = {}
            case "/leave":
                self._fleet.leave(query["vm"])
                data = {}
            case "/record":
                data = {
                    "served": [
                        [s.at_s, s.event, s.vm, s.group, s.generation, s.digest]
                        for s in self._fleet.request_events
                    ],
                    "served_while_incomplete": sum(
                        bool(s.missing_vms) and s.event != "arrive"
                        for s in self._fleet.request_events
                    ),
                    "double_holdings": len(self._fleet.double_holdings),
                    "runs": {
                        name: [[run.key, run.path] for run in state.runs]
                        for name, state in self._states_by_name.items()
                    },
                }
            case _:
                data = {"unknown": path}
        body = json.dumps(data).encode()
        reply.start(200, {"Content-Length": str(len(body))})
        await reply.data(body)


def run_standins(arguments=None):
    """Run the stand-ins until the process ends; return 2 if the settings are wrong."""
    parser = argparse.ArgumentParser(
        prog="pimentogap-standins",
        description="Stand in for the platform, the engines and the plain services.",
        epilog="example:\n  pimentogap-standins --settings standins.yaml",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    options = parser.parse_args(arguments)
    try:
        with open(options.settings, encoding="utf-8") as file:
            data, lines_by_path = read_yaml(file.read())
        settings = check(StandinSettings, data, lines_by_path=lines_by_path)
    except InvalidDocument as error:
        for problem in error.problems:
            print(f"{options.settings}: {problem}", file=sys.stderr)
        return 2
    asyncio.run(_run(settings))
    return 0


async def _run(settings):
    platform = Platform()
    SocketServer(platform).listen(settings.platform_address)
    timing = EngineTiming(step_s=settings.step_ms / 1000)
    fleet = EngineFleet(timing=timing, weight_store=WeightStore(20e9))
    fleet.on_change = platform.set_vms
    servers_by_vm = {}
    vms = make_vms(
        region=settings.region,
        zones=settings.availability_zones,
        domains_per_zone=settings.domains_per_zone,
        vms_per_domain=settings.vms_per_domain,
        host=settings.host,
        first_port=settings.first_vm_port,
    )
    for vm in vms:
        checks_fencing = vm.fabric_domain not in settings.unchecked_domains
        engine = fleet.add(vm, checks_fencing_number=checks_fencing)
        servers_by_vm[vm.id] = SocketServer(engine)
        servers_by_vm[vm.id].listen(vm.address)
    states_by_name = {}
    for plain in settings.plain:
        state = states_by_name[plain.name] = PlainServiceState()
        for index in range(plain.servers):
            server = PlainServer(f"{plain.name}-{index}", state)
            SocketServer(server).listen(f"{settings.host}:{plain.first_port + index}")
    control_port = int(settings.platform_address.rpartition(":")[2]) + 1
    panel = ControlPanel(fleet, states_by_name, servers_by_vm)
    SocketServer(panel).listen(f"{settings.host}:{control_port}")
    fleet.publish()
    print("stand-ins are up", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    sys.exit(run_standins())
