"""Finds the process at the other end of a connection on loopback."""

import os


def owner_of(writer, pids):
    """Return which of ``pids`` has the client's end of a connection, or ``None``.

    :param writer: the `asyncio.StreamWriter` of the server's end.
    """
    peer = writer.get_extra_info("peername")
    own = writer.get_extra_info("sockname")
    if peer is None or own is None:
        return None
    inode = _inode_of(_in_hex(*peer[:2]), _in_hex(*own[:2]))
    if inode is None:
        return None
    return next((pid for pid in pids if _has_socket(pid, inode)), None)


def _inode_of(local, remote):
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            if fields[1:3] == [local, remote] and fields[9] != "0":
                return fields[9]
    return None


def _has_socket(pid, inode):
    folder = f"/proc/{pid}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return False
    return any(_target(f"{folder}/{name}") == f"socket:[{inode}]" for name in names)


def _target(path):
    try:
        return os.readlink(path)
    except OSError:
        return None


def _in_hex(host, port):
    number = "".join(f"{int(part):02X}" for part in reversed(host.split(".")))
    return f"{number}:{port:04X}"
