"""Free ports on loopback."""

import contextlib
import random
import socket

LOOPBACK = "127.0.0.1"
_RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range"
_LOWEST_PORT = 10_000
_BLOCK_PORTS = 256

# Sockets on the first port of each block in use, held until this program ends.
_locks: list[socket.socket] = []


class PortAllocator:
    """Hands out ports that are free for TCP and UDP, each at most once.

    They lie below the range from which the system numbers outgoing sockets: a process that is
    replaced must find its port free again while thousands of flows are open. They come from a block
    that this program has locked, since a port that is free now may be taken by another deployment
    before the process it was chosen for has started.
    """

    def __init__(self) -> None:
        with open(_RANGE_FILE, encoding="ascii") as file:
            first_outgoing = int(file.read().split()[0])
        self._blocks = list(range(_LOWEST_PORT, first_outgoing - _BLOCK_PORTS, _BLOCK_PORTS))
        random.SystemRandom().shuffle(self._blocks)
        self._candidates: list[int] = []

    def next_address(self) -> str:
        """Returns the next free address as "IP:port"."""
        while self._candidates or self._blocks:
            if not self._candidates:
                self._candidates = _lock_block(self._blocks.pop())
                continue
            port = self._candidates.pop()
            if _is_free(port):
                return f"{LOOPBACK}:{port}"
        raise RuntimeError("no free port is left on loopback")


def _lock_block(first_port: int) -> list[int]:
    """Returns the ports of a block that no other program has locked; none when one has."""
    lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        lock.bind((LOOPBACK, first_port))
    except OSError:
        lock.close()
        return []
    _locks.append(lock)
    return list(range(first_port + 1, first_port + _BLOCK_PORTS))


def _is_free(port: int) -> bool:
    with contextlib.ExitStack() as sockets:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            probe = sockets.enter_context(socket.socket(socket.AF_INET, kind))
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
