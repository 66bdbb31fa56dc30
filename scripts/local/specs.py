"""The two deployments of the project's first users, in their sizes of today."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """A service, how many endpoints it has, and its fields in the tree besides, as (key, value)."""

    name: str
    endpoints: int
    kind: str = "datagram"
    bucket_count: int = 256
    settings: tuple[tuple[str, object], ...] = ()


@dataclasses.dataclass(frozen=True)
class DeploymentSpec:
    """Services, zones and balancers of one deployment, and further flags of its programs."""

    name: str
    region: str
    zones: tuple[str, ...]
    services: tuple[ServiceSpec, ...]
    balancers: int = 2
    backend_flags: tuple[str, ...] = ()
    agent_flags: tuple[str, ...] = ()

    def has_http3(self) -> bool:
        """Tells whether any service is HTTP/3."""
        return any(service.kind == "http3" for service in self.services)


PARTS_PLATFORM = DeploymentSpec(
    name="parts",
    region="cantabria",
    zones=("east", "centre", "west"),
    services=(ServiceSpec("stock", 7), ServiceSpec("drawings", 3)),
)

PORT = DeploymentSpec(
    name="port",
    region="durban",
    zones=("zone-1", "zone-2", "zone-3", "zone-4"),
    services=(ServiceSpec("bookings", 7), ServiceSpec("manifest", 4)),
)


def with_kind(spec: DeploymentSpec, kind: str) -> DeploymentSpec:
    """Returns the deployment with all its services of this kind: "datagram" or "http3"."""
    services = tuple(dataclasses.replace(service, kind=kind) for service in spec.services)
    return dataclasses.replace(spec, services=services)


def with_settings(spec: DeploymentSpec, **settings: object) -> DeploymentSpec:
    """Returns the deployment with these fields in the tree for all its services."""
    services = tuple(dataclasses.replace(service, settings=tuple(settings.items()))
                     for service in spec.services)
    return dataclasses.replace(spec, services=services)


BY_NAME = {spec.name: spec for spec in (PARTS_PLATFORM, PORT)}
