"""Free ports on loopback."""

import contextlib
import random
import socket

LOOPBACK = "127.0.0.1"
_RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range"
_LOWEST_PORT = 10_000


class PortAllocator:
    """Hands out ports that are free for TCP and UDP, each at most once.

    They lie below the range from which the system numbers outgoing sockets: a process that is
    replaced must find its port free again while thousands of flows are open.
    """

    def __init__(self) -> None:
        with open(_RANGE_FILE, encoding="ascii") as file:
            first_outgoing = int(file.read().split()[0])
        self._candidates = list(range(_LOWEST_PORT, first_outgoing))
        random.SystemRandom().shuffle(self._candidates)

    def next_address(self) -> str:
        """Returns the next free address as "IP:port"."""
        while self._candidates:
            port = self._candidates.pop()
            if _is_free(port):
                return f"{LOOPBACK}:{port}"
        raise RuntimeError("no free port is left on loopback")


def _is_free(port: int) -> bool:
    with contextlib.ExitStack() as sockets:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            probe = sockets.enter_context(socket.socket(socket.AF_INET, kind))
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
