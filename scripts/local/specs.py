"""The two deployments of the project's first users, in their sizes of today."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """A service and how many endpoints it has."""

    name: str
    endpoints: int
    kind: str = "datagram"
    bucket_count: int = 256


@dataclasses.dataclass(frozen=True)
class DeploymentSpec:
    """Services, zones and balancers of one deployment."""

    name: str
    region: str
    zones: tuple[str, ...]
    services: tuple[ServiceSpec, ...]
    balancers: int = 2


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

BY_NAME = {spec.name: spec for spec in (PARTS_PLATFORM, PORT)}
