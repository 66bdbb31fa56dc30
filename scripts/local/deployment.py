"""A running deployment: stand-ins, balancers, agents and back ends on loopback."""

import pathlib
import subprocess
from typing import Any, Sequence

from . import admin, nodes, polling, ports, processes
from .processes import ManagedProcess
from .specs import DeploymentSpec, ServiceSpec


class Deployment:
    """Starts every process of a deployment; ends them all when left. A context manager."""

    def __init__(self, spec: DeploymentSpec, programs: pathlib.Path,
                 directory: pathlib.Path) -> None:
        self.spec = spec
        self.layout = nodes.make_layout(spec)
        self._programs = programs
        self.directory = directory  # of logs, outputs and settings
        self.used_ports_file = directory / "used_ports"  # of the load's runs, for those that follow
        self.fabric = self._make_fabric()
        self.store = self._make_store()
        self.backends = {endpoint.name: self._make_backend(endpoint)
                         for endpoint in self.layout.endpoints}
        self.agents = {endpoint.name: self._make_agent(endpoint)
                       for endpoint in self.layout.endpoints}
        self.balancers = {balancer.name: self._make_balancer(balancer)
                          for balancer in self.layout.balancers}
        self._others: list[ManagedProcess] = []

    def __enter__(self) -> "Deployment":
        try:
            self.store.start()
            self.store.wait_ready()
            if self.spec.has_http3():
                self._write_secrets()
            self.control("tree", "apply", str(nodes.write_tree(self.layout, self.directory)))
            for process in self.processes():
                if process is not self.store:
                    process.start()
            for process in self.processes():
                process.wait_ready()
            polling.wait_until(self.is_settled, "every node has its settings and tables")
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
        return [self.store, self.fabric, *self.backends.values(), *self.agents.values(),
                *self.balancers.values()]

    def run_beside(self, name: str, program: str, arguments: list[str],
                   admin_address: str = "") -> ManagedProcess:
        """Starts a further program, such as the load tool, and returns it."""
        process = ManagedProcess(name, [str(self._programs / program), *arguments],
                                 self.directory, admin_address)
        self._others.append(process)
        process.start()
        return process

    def is_settled(self) -> bool:
        """Tells whether every balancer has every service's whole table, and every agent its own
        and takes keyed requests."""
        return (all(self._has_tables(balancer, self.spec.services)
                    for balancer in self.layout.balancers)
                and all(self._has_tables(endpoint.agent, [endpoint.service])
                        and self._remembers_new_keys(endpoint.agent)
                        for endpoint in self.layout.endpoints))

    def status(self, node: nodes.Node) -> dict[str, Any]:
        """Returns what a balancer or agent says of itself."""
        return admin.request_json(node.admin_address, "/status")

    def _has_tables(self, node: nodes.Node, services: Sequence[ServiceSpec]) -> bool:
        status = self.status(node)
        agents = {service["name"]: service["agents"] for service in status["services"]}
        return (status["confirmed_milliseconds_ago"] is not None
                and all(agents.get(service.name) == service.endpoints for service in services))

    def _remembers_new_keys(self, node: nodes.Node) -> bool:
        """Agents of datagram services have no such metric."""
        metrics = admin.request_text(node.admin_address, "/metrics")
        return "gaugevalve_agent_remembers_new_keys 0" not in metrics

    def control(self, *arguments: str) -> str:
        """Runs gaugevalvectl and returns what it printed; RuntimeError when it fails."""
        command = [self._program("gaugevalvectl"), f"--store={self.layout.store_address}",
                   "--node=" + ",".join(node.admin_address for node in self.layout.balancers),
                   *arguments]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        if result.returncode != 0:
            raise RuntimeError(f"{command} ended with {result.returncode}:\n"
                               f"{result.stdout}{result.stderr}")
        return result.stdout

    def spray_over(self, balancer_names: list[str]) -> None:
        """Makes the fabric spray over just these balancers."""
        addresses = [balancer.data_address for balancer in self.layout.balancers
                     if balancer.name in balancer_names]
        admin.request_json(self.layout.fabric_admin_address, "/admin/balancers",
                           {"balancers": addresses, "cut": []})

    def set_store_faults(self, **faults: Any) -> None:
        """Sets faults of the store."""
        admin.request_json(self.layout.store_admin_address, "/admin/faults", faults)

    def set_network_faults(self, direction: str, **faults: float) -> None:
        """Sets faults of the fabric; direction is "inbound" or "outbound"."""
        admin.request_json(self.layout.fabric_admin_address, f"/admin/faults/{direction}", faults)

    def ledgers(self) -> dict[str, Any]:
        """Returns each back end's ledger by endpoint name."""
        return {endpoint.name: admin.request_json(endpoint.admin_address, "/ledger")
                for endpoint in self.layout.endpoints
                if self.backends[endpoint.name].is_running()}

    def _write_secrets(self) -> None:
        nodes.write_connection_id_keys(self.directory)
        self.control("certificate", "self-signed", ports.LOOPBACK,
                     str(nodes.certificate_file(self.directory)),
                     str(nodes.key_file(self.directory)))

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
        return ManagedProcess("fabric", command, self.directory, layout.fabric_admin_address)

    def _make_store(self) -> ManagedProcess:
        layout = self.layout
        command = [self._program("standin-store"), f"--listen={layout.store_address}",
                   f"--admin={layout.store_admin_address}"]
        return ManagedProcess("store", command, self.directory, layout.store_admin_address)

    def _make_backend(self, endpoint: nodes.Endpoint) -> ManagedProcess:
        command = [self._program("standin-backend"), f"--name={endpoint.name}",
                   f"--service={endpoint.service.name}", f"--datagram={endpoint.datagram_address}",
                   f"--http={endpoint.http_address}", f"--admin={endpoint.admin_address}",
                   *self.spec.backend_flags]
        return ManagedProcess(f"backend-{endpoint.name}", command, self.directory,
                              endpoint.admin_address)

    def _make_agent(self, endpoint: nodes.Endpoint) -> ManagedProcess:
        settings = nodes.write_agent_settings(self.layout, endpoint, self.directory)
        command = [self._program("gaugevalve-agent"), f"--settings={settings}",
                   *self.spec.agent_flags]
        return ManagedProcess(endpoint.agent.name, command, self.directory,
                              endpoint.agent.admin_address)

    def _make_balancer(self, balancer: nodes.Node) -> ManagedProcess:
        settings = nodes.write_balancer_settings(self.layout, balancer, self.directory)
        command = [self._program("gaugevalve-balancer"), f"--settings={settings}"]
        return ManagedProcess(balancer.name, command, self.directory, balancer.admin_address)
