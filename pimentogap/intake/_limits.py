"""What callers may take of a process, from the limits of its VM."""

from dataclasses import dataclass

MIB = 2**20
# A daemon without callers needs less than this.
BASE_BYTES = 64 * MIB
# The rest of the memory is left for copies, fragmentation and answers on their way.
CALLERS_SHARE = 0.6
# A VM that is smaller than the base still serves, with this share of its memory.
LEAST_SHARE = 0.1
SMALL_SHARE = 0.25
# What a connection needs at most besides its body, with what the kernel holds of it.
CONNECTION_BYTES = 96 * 1024
# What the kernel holds of a connection that is not read, and the share of the memory
# that may be held so.
UNREAD_BYTES = 32 * 1024
UNREAD_SHARE = 0.1
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# The remaining descriptors go to backend servers, the store and other daemons.
CALLERS_DESCRIPTOR_SHARE = 0.6


@dataclass(frozen=True, slots=True, kw_only=True)
class IntakeLimits:
    """Bounds on all callers together.

    ``memory_bytes`` is for bodies, connections and unsent answers; ``small_bytes`` is
    the part of it that large bodies leave to small ones. ``connections`` bounds the
    callers' connections, ``waiting`` those of them whose bodies wait for room.
    """

    memory_bytes: int
    small_bytes: int
    connections: int
    waiting: int

    @classmethod
    def of_vm(cls, memory_mb, max_descriptors):
        """Return the limits for a process on a VM with these limits."""
        total = memory_mb * MIB
        memory = max((total - BASE_BYTES) * CALLERS_SHARE, total * LEAST_SHARE)
        by_memory = int(memory / CONNECTION_BYTES)
        sockets = max(2, max_descriptors - FILE_DESCRIPTORS)
        by_descriptors = int(sockets * CALLERS_DESCRIPTOR_SHARE)
        return cls(
            memory_bytes=int(memory),
            small_bytes=int(memory * SMALL_SHARE),
            connections=max(1, min(by_memory, by_descriptors)),
            waiting=max(1, int(memory * UNREAD_SHARE / UNREAD_BYTES)),
        )
