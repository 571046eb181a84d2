"""VMs, model groups as assigned, and backend servers."""

from dataclasses import dataclass
from enum import StrEnum

from pimentogap.schema import (
    Address,
    Choice,
    Flag,
    Integer,
    Listing,
    Record,
    Text,
    name_shape,
    shaped,
)

# Prefix of the names of model groups that the controller forms from surplus VMs.
SURPLUS_PREFIX = "surplus."


class VmState(StrEnum):
    """The state of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """A VM in the platform's list; ``incarnation`` changes with each start."""

    id: str = shaped(name_shape())
    incarnation: int = shaped(Integer("starts"))
    address: str = shaped(Address())
    region: str = shaped(name_shape())
    availability_zone: str = shaped(name_shape())
    fabric_domain: str = shaped(name_shape())
    accelerators: int = shaped(Integer("accelerators"), default=8)
    state: str = shaped(Choice(tuple(VmState)), default=VmState.LIVE)


@dataclass(frozen=True, slots=True, kw_only=True)
class AssignedVm:
    """A member of a model group, as its VM was when it was assigned."""

    id: str = shaped(name_shape())
    incarnation: int = shaped(Integer("starts"))
    address: str = shaped(Address())


@dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """One generation of a model group: the VMs that serve it together.

    ``generation`` grows with every change of the group's VMs. The first of ``vms``
    is the head. A draining generation gets no new requests and ends when its last
    running request does.
    """

    group: str = shaped(Text(r"[a-z0-9._-]+", "a model group", 255))
    service: str = shaped(name_shape())
    model: str = shaped(name_shape())
    version: str = shaped(name_shape())
    generation: int = shaped(Integer("changes", 1))
    fabric_domain: str = shaped(name_shape())
    availability_zone: str = shaped(name_shape())
    vms: tuple = shaped(Listing(Record(AssignedVm), 64))
    draining: bool = shaped(Flag(), default=False)

    @property
    def key(self):
        """Return the group and generation, which identify this assignment."""
        return (self.group, self.generation)

    @property
    def head(self):
        """Return the VM that receives the group's requests."""
        return self.vms[0]


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A destination of requests: a model group's head or a plain service's server.

    ``generation`` is zero for the server of a plain service.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    generation: int = 0
