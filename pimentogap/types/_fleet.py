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

# Names of model groups that the controller forms of VMs to spare begin so.
SURPLUS_PREFIX = "surplus."


class VmState(StrEnum):
    """What the platform's list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """A VM of the platform's list. ``incarnation`` changes with each start."""

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
    """A VM as it was when it was assigned; the first of a group is its head."""

    id: str = shaped(name_shape())
    incarnation: int = shaped(Integer("starts"))
    address: str = shaped(Address())


@dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """The VMs of a model group. ``generation`` grows with every change of them.

    A draining generation gets no new requests and ends with its last one.
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
        """Return what names this generation of the group."""
        return (self.group, self.generation)

    @property
    def head(self):
        """Return the VM that serves the group's requests."""
        return self.vms[0]


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Where a request can be sent: a model group's head or a plain server.

    ``generation`` is zero for a plain server.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    generation: int = 0
