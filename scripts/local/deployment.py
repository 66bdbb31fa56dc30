"""A running deployment: stand-ins, balancers, agents and back ends on loopback."""

import pathlib
from typing import Any

from . import admin, nodes, processes
from .processes import ManagedProcess
from .specs import DeploymentSpec


class Deployment:
    """Starts every process of a deployment; ends them all when left. A context manager."""

    def __init__(self, spec: DeploymentSpec, programs: pathlib.Path,
                 directory: pathlib.Path) -> None:
        self.spec = spec
        self.layout = nodes.make_layout(spec)
        self._programs = programs
        self._directory = directory
        self.fabric = self._make_fabric()
        self.backends = {endpoint.name: self._make_backend(endpoint)
                         for endpoint in self.layout.endpoints}
        self.agents = {endpoint.name: self._make_agent(endpoint)
                       for endpoint in self.layout.endpoints}
        self.balancers = {balancer.name: self._make_balancer(balancer)
                          for balancer in self.layout.balancers}
        self._others: list[ManagedProcess] = []

    def __enter__(self) -> "Deployment":
        try:
            for process in self.processes():
                process.start()
            for process in self.processes():
                process.wait_healthy()
        except BaseException:
            self.end()
            raise
        return self

    def __exit__(self, *_: Any) -> None:
        self.end()

    def end(self) -> None:
        """Ends every process that was started, also those of run_beside()."""
        processes.end_all(self._others + self.processes())

    def processes(self) -> list[ManagedProcess]:
        """Returns the processes in the order in which they are started."""
        return [self.fabric, *self.backends.values(), *self.agents.values(),
                *self.balancers.values()]

    def run_beside(self, name: str, program: str, arguments: list[str],
                   admin_address: str = "") -> ManagedProcess:
        """Starts a further program, such as the load tool, and returns it."""
        process = ManagedProcess(name, [str(self._programs / program), *arguments],
                                 self._directory, admin_address)
        self._others.append(process)
        process.start()
        return process

    def spray_over(self, balancer_names: list[str]) -> None:
        """Makes the fabric spray over just these balancers."""
        addresses = [balancer.data_address for balancer in self.layout.balancers
                     if balancer.name in balancer_names]
        admin.request_json(self.layout.fabric_admin_address, "/admin/balancers",
                           {"balancers": addresses, "cut": []})

    def set_network_faults(self, direction: str, **faults: float) -> None:
        """Sets faults of the fabric; direction is "inbound" or "outbound"."""
        admin.request_json(self.layout.fabric_admin_address, f"/admin/faults/{direction}", faults)

    def ledgers(self) -> dict[str, Any]:
        """Returns each back end's ledger by endpoint name."""
        return {endpoint.name: admin.request_json(endpoint.admin_address, "/ledger")
                for endpoint in self.layout.endpoints
                if self.backends[endpoint.name].is_running()}

    def _program(self, name: str) -> str:
        return str(self._programs / name)

    def _make_fabric(self) -> ManagedProcess:
        layout = self.layout
        virtual_addresses = ",".join(f"{service}={address}"
                                     for service, address in layout.virtual_addresses.items())
        balancers = ",".join(balancer.data_address for balancer in layout.balancers)
        command = [self._program("standin-fabric"), f"--virtual_addresses={virtual_addresses}",
                   f"--egress={layout.egress_address}", f"--balancers={balancers}",
                   f"--admin={layout.fabric_admin_address}"]
        return ManagedProcess("fabric", command, self._directory, layout.fabric_admin_address)

    def _make_backend(self, endpoint: nodes.Endpoint) -> ManagedProcess:
        command = [self._program("standin-backend"), f"--name={endpoint.name}",
                   f"--service={endpoint.service.name}", f"--datagram={endpoint.datagram_address}",
                   f"--admin={endpoint.admin_address}"]
        return ManagedProcess(f"backend-{endpoint.name}", command, self._directory,
                              endpoint.admin_address)

    def _make_agent(self, endpoint: nodes.Endpoint) -> ManagedProcess:
        settings = nodes.write_agent_settings(self.layout, endpoint, self._directory)
        command = [self._program("gaugevalve-agent"), f"--settings={settings}"]
        return ManagedProcess(endpoint.agent.name, command, self._directory,
                              endpoint.agent.admin_address)

    def _make_balancer(self, balancer: nodes.Node) -> ManagedProcess:
        settings = nodes.write_balancer_settings(self.layout, balancer, self._directory)
        command = [self._program("gaugevalve-balancer"), f"--settings={settings}"]
        return ManagedProcess(balancer.name, command, self._directory, balancer.admin_address)
