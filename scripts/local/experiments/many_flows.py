"""New flows on one balancer while very many are open: is each kept, and what memory it takes.

The generator takes the fabric's place, so that a flow needs no socket of its own here. An agent has a
connected socket for each flow, and a system has about 28,000 outgoing UDP ports for each source
address: on one machine that bounds the flows of all agents together. Stay well below it, other
programs need ports, too.
"""

import argparse
import dataclasses
import json
import pathlib
import re
import select
import signal
import socket
import struct
import time

from .. import specs
from ..deployment import Deployment
from .table import format_table

NAME = "many-flows"
_ENDPOINTS = 10
_SERVICE = specs.ServiceSpec("stock", _ENDPOINTS, settings=(
    ("connections", 19_000), ("idle_timeout", "1h"), ("cold_start_ramp", "0s")))
_SPEC = dataclasses.replace(specs.PARTS_PLATFORM, services=(_SERVICE,))

_SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n\x21\x12"  # PROXY protocol v2, a datagram over IPv4
_HEADER = struct.Struct(f"!{len(_SIGNATURE)}s H 4s 4s H H")
_ADDRESS_BYTES = 12
_PORTS_PER_ADDRESS = 50_000
_FIRST_PORT = 1024
_BUFFER_BYTES = 4 * 1024 * 1024
_TURN_SECONDS = 0.005
_RETRY_SECONDS = 1.0
_ATTEMPTS = 10
_ANSWER = re.compile(rb'"endpoint":"([^"]+)".*"flow":(\d+),"number":(\d+)')


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds this experiment's options."""
    parser.add_argument("--open-flows", type=int, default=12_000)
    parser.add_argument("--new-per-second", type=int, default=1_000)
    parser.add_argument("--seconds", type=int, default=4, help="of new flows, with the others open")
    parser.add_argument("--filling-per-second", type=int, default=2_000)


def run(arguments: argparse.Namespace, programs: pathlib.Path, directory: pathlib.Path) -> str:
    """Runs the experiment and returns its table."""
    with Deployment(_SPEC, programs, directory) as deployment:
        deployment.fabric.send_signal(signal.SIGTERM)
        deployment.fabric.wait(10)
        balancer = next(iter(deployment.balancers.values()))
        generator = _Generator(deployment)
        rows = [("balancer before, MB", _megabytes(balancer.resident_bytes()))]
        generator.touch(range(1, arguments.open_flows + 1), arguments.filling_per_second)
        rows += [("flows open before", len(generator.endpoint_of)),
                 ("balancer then, MB", _megabytes(balancer.resident_bytes()))]
        generator.sent_again = 0
        last = arguments.open_flows + arguments.new_per_second * arguments.seconds
        started = time.monotonic()
        generator.touch(range(arguments.open_flows + 1, last + 1), arguments.new_per_second)
        rows += [("new flows", last - arguments.open_flows),
                 ("new a second, measured", (last - arguments.open_flows) /
                  (time.monotonic() - started)),
                 ("first requests sent again", generator.sent_again),
                 ("balancer then, MB", _megabytes(balancer.resident_bytes()))]
        generator.sent_again = 0
        generator.touch(range(1, last + 1), arguments.filling_per_second)
        agents = [agent.resident_bytes() for agent in deployment.agents.values()]
        rows += [("flows answered again", generator.answered_twice),
                 ("of these, requests sent again", generator.sent_again),
                 ("flows answered by another endpoint", generator.moved),
                 ("flows without an answer", last - len(generator.endpoint_of)),
                 ("balancer at the end, MB", _megabytes(balancer.resident_bytes())),
                 ("an agent at the end, MB, mean", _megabytes(sum(agents) / len(agents)))]
    return format_table(("many flows", "measured"), rows)


def _megabytes(size: float) -> float:
    return size / 1e6


class _Generator:
    """Sends requests of flows to the balancer as the fabric would, and takes the answers."""

    def __init__(self, deployment: Deployment) -> None:
        layout = deployment.layout
        self._service = layout.spec.services[0].name
        self._virtual_address = _split(layout.virtual_addresses[self._service])
        self._balancer = _split(layout.balancers[0].data_address)
        self._inbound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._egress = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._egress.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        self._egress.bind(_split(layout.egress_address))
        self._egress.setblocking(False)
        self._round = 0
        self._waiting: dict[int, tuple[float, int]] = {}  # flow: when to send again, attempts
        self.endpoint_of: dict[int, bytes] = {}
        self.moved = 0
        self.answered_twice = 0
        self.sent_again = 0

    def touch(self, flows: range, per_second: float) -> None:
        """Sends a request of each flow at this rate and waits for the answers."""
        self._round += 1
        started = time.monotonic()
        sent = 0
        next_check = started
        while sent < len(flows) or self._waiting:
            now = time.monotonic()
            due = min(len(flows), int((now - started) * per_second))
            for flow in flows[sent:due]:
                self._send(flow, now, 1)
            sent = max(sent, due)
            self._receive()
            if now >= next_check:
                next_check = now + _RETRY_SECONDS / 4
                self._send_again(now)

    def _send(self, flow: int, now: float, attempt: int) -> None:
        self._waiting[flow] = (now + _RETRY_SECONDS, attempt)
        address, port = divmod(flow, _PORTS_PER_ADDRESS)
        header = _HEADER.pack(_SIGNATURE, _ADDRESS_BYTES, bytes((127, 0, 1, address + 1)),
                              socket.inet_aton(self._virtual_address[0]), _FIRST_PORT + port,
                              self._virtual_address[1])
        request = {"service": self._service, "flow": flow, "number": self._round}
        self._inbound.sendto(header + json.dumps(request).encode(), self._balancer)

    def _send_again(self, now: float) -> None:
        late = [(flow, attempt) for flow, (at, attempt) in self._waiting.items() if at <= now]
        for flow, attempt in late:
            if attempt >= _ATTEMPTS:
                del self._waiting[flow]
            else:
                self.sent_again += 1
                self._send(flow, now, attempt + 1)

    def _receive(self) -> None:
        readable, _, _ = select.select([self._egress], [], [], _TURN_SECONDS)
        while readable:
            try:
                answer = _ANSWER.search(self._egress.recv(2048))
            except BlockingIOError:
                return
            flow = int(answer[2])
            if int(answer[3]) != self._round or self._waiting.pop(flow, None) is None:
                continue
            known = self.endpoint_of.setdefault(flow, answer[1])
            self.moved += known != answer[1]
            self.answered_twice += self._round > 2


def _split(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)
