"""The processes of a deployment before they run: names, addresses and settings files."""

import dataclasses
import pathlib
import secrets

import yaml

from .ports import PortAllocator
from .specs import DeploymentSpec, ServiceSpec

_CONNECTION_ID_KEY_BYTES = 16


@dataclasses.dataclass(frozen=True)
class Node:
    """A balancer or an agent."""

    name: str
    zone: str
    data_address: str
    control_address: str
    admin_address: str


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """A back end with the agent beside it."""

    name: str
    service: ServiceSpec
    datagram_address: str
    http_address: str
    admin_address: str
    agent: Node


@dataclasses.dataclass(frozen=True)
class Layout:
    """Every name and address of a deployment."""

    spec: DeploymentSpec
    egress_address: str
    fabric_admin_address: str
    store_address: str
    store_admin_address: str
    virtual_addresses: dict[str, str]
    balancers: tuple[Node, ...]
    endpoints: tuple[Endpoint, ...]

    def endpoints_of(self, service_name: str) -> list[Endpoint]:
        """Returns the endpoints of one service."""
        return [endpoint for endpoint in self.endpoints if endpoint.service.name == service_name]


def make_layout(spec: DeploymentSpec) -> Layout:
    """Chooses free addresses for every process of the deployment."""
    ports = PortAllocator()

    def node(name: str, index: int) -> Node:
        return Node(name, spec.zones[index % len(spec.zones)], ports.next_address(),
                    ports.next_address(), ports.next_address())

    def endpoint(service: ServiceSpec, index: int) -> Endpoint:
        name = f"{service.name}-{index + 1}"
        return Endpoint(name, service, ports.next_address(), ports.next_address(),
                        ports.next_address(), node(f"agent-{name}", index))

    return Layout(
        spec=spec,
        egress_address=ports.next_address(),
        fabric_admin_address=ports.next_address(),
        store_address=ports.next_address(),
        store_admin_address=ports.next_address(),
        virtual_addresses={service.name: ports.next_address() for service in spec.services},
        balancers=tuple(node(f"balancer-{index + 1}", index) for index in range(spec.balancers)),
        endpoints=tuple(endpoint(service, index) for service in spec.services
                        for index in range(service.endpoints)),
    )


def certificate_file(directory: pathlib.Path) -> pathlib.Path:
    """Returns where the deployment's certificate is; see Deployment."""
    return directory / "certificate.pem"


def key_file(directory: pathlib.Path) -> pathlib.Path:
    """Returns where the certificate's key is."""
    return directory / "key.pem"


def write_connection_id_keys(directory: pathlib.Path) -> pathlib.Path:
    """Writes a new key for connection IDs, shared by all nodes, and returns its file's path."""
    path = _connection_id_key_file(directory)
    path.write_text(f"0:{secrets.token_hex(_CONNECTION_ID_KEY_BYTES)}\n", encoding="ascii")
    return path


def write_balancer_settings(layout: Layout, balancer: Node, directory: pathlib.Path) -> pathlib.Path:
    """Writes a balancer's settings file and returns its path."""
    settings = _common_settings(layout, balancer, "balancer", directory)
    return _write(settings, balancer.name, directory)


def write_agent_settings(layout: Layout, endpoint: Endpoint,
                         directory: pathlib.Path) -> pathlib.Path:
    """Writes the settings file of the agent beside `endpoint` and returns its path."""
    settings = _common_settings(layout, endpoint.agent, "agent", directory)
    settings["egress_address"] = layout.egress_address
    settings["agent"] = {"service": endpoint.service.name, "endpoint": endpoint.name}
    if endpoint.service.kind == "http3":
        settings["agent"]["http_address"] = endpoint.http_address
        settings["agent"]["certificate_file"] = str(certificate_file(directory))
        settings["agent"]["key_file"] = str(key_file(directory))
    else:
        settings["agent"]["datagram_address"] = endpoint.datagram_address
    return _write(settings, endpoint.agent.name, directory)


def write_tree(layout: Layout, directory: pathlib.Path) -> pathlib.Path:
    """Writes the deployment's settings tree, as operators keep it, and returns its path."""
    return _write({
        "version": 1,
        "services": {service.name: _service_branch(layout, service)
                     for service in layout.spec.services},
    }, "tree", directory)


def _service_branch(layout: Layout, service: ServiceSpec) -> dict:
    zones: dict = {zone: {"endpoints": {}} for zone in layout.spec.zones}
    for endpoint in layout.endpoints_of(service.name):
        zones[endpoint.agent.zone]["endpoints"][endpoint.name] = {}
    used_zones = {name: zone for name, zone in zones.items() if zone["endpoints"]}
    return {
        "kind": service.kind,
        "virtual_address": layout.virtual_addresses[service.name],
        "bucket_count": service.bucket_count,
        **dict(service.settings),
        "regions": {layout.spec.region: {"zones": used_zones}},
    }


def _connection_id_key_file(directory: pathlib.Path) -> pathlib.Path:
    return directory / "connection-id-keys"


def _common_settings(layout: Layout, node: Node, role: str, directory: pathlib.Path) -> dict:
    settings = {
        "name": node.name,
        "role": role,
        "region": layout.spec.region,
        "zone": node.zone,
        "data_address": node.data_address,
        "control_address": node.control_address,
        "admin_address": node.admin_address,
        "seed_peers": [balancer.control_address for balancer in layout.balancers],
        "store_endpoints": [layout.store_address],
    }
    if layout.spec.has_http3():
        settings["connection_id_key_file"] = str(_connection_id_key_file(directory))
    return settings


def _write(settings: dict, name: str, directory: pathlib.Path) -> pathlib.Path:
    path = directory / f"{name}.yaml"
    path.write_text(yaml.safe_dump(settings, sort_keys=False), encoding="utf-8")
    return path
