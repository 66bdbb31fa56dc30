"""The load tool, run against a deployment."""

import dataclasses
import json
import pathlib
import signal
from typing import Any

from .deployment import Deployment
from .processes import ManagedProcess

_GRACE_SECONDS = 60.0


@dataclasses.dataclass(frozen=True)
class LoadSettings:
    """How much load, and for how long. Rates are for each service; by default for all of them."""

    seconds: float = 10.0
    flows_per_second: float = 50.0
    flow_lifetime_seconds: float = 5.0
    request_interval_milliseconds: int = 50
    silence_seconds: float = 5.0
    output: str = "json"
    seed: int = 1
    drawing_share: float = 0.2
    services: tuple[str, ...] = ()


class LoadRun:
    """A run of gaugevalve-load beside a deployment."""

    def __init__(self, deployment: Deployment, settings: LoadSettings) -> None:
        self.settings = settings
        layout = deployment.layout
        services = ",".join(f"{service}={address}"
                            for service, address in layout.virtual_addresses.items()
                            if service in settings.services or not settings.services)
        expected = ",".join(f"{service.name}={service.endpoints}"
                            for service in layout.spec.services
                            if service.name in settings.services or not settings.services)
        self._process: ManagedProcess = deployment.run_beside(
            f"load-{settings.seed}", "gaugevalve-load",
            [f"--services={services}", f"--expected_endpoints={expected}",
             f"--duration={settings.seconds}s", f"--flows_per_second={settings.flows_per_second}",
             f"--flow_lifetime={settings.flow_lifetime_seconds}s",
             f"--request_interval={settings.request_interval_milliseconds}ms",
             f"--mode={'http3' if layout.spec.has_http3() else 'datagram'}",
             f"--silence={settings.silence_seconds}s", f"--seed={settings.seed}",
             f"--drawing_share={settings.drawing_share}", f"--output={settings.output}",
             f"--used_ports={deployment.used_ports_file}"])

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the load's process."""
        self._process.send_signal(number)

    def is_running(self) -> bool:
        """Tells whether the run goes on."""
        return self._process.is_running()

    def wait(self) -> int:
        """Waits for the end and returns the exit status: 0 clean, 1 not clean."""
        return self._process.wait(self.settings.seconds + _GRACE_SECONDS)

    def end(self) -> None:
        """Makes the run end now, each flow with the answer it waits for, and waits for it."""
        if self.is_running():
            self._process.send_signal(signal.SIGTERM)
            self._process.wait(self.settings.silence_seconds + _GRACE_SECONDS)

    def output(self) -> str:
        """Returns what the tool has printed."""
        return pathlib.Path(self._process.output_file).read_text(encoding="utf-8")

    def report(self) -> dict[str, Any]:
        """Returns the report, of a run with JSON output that has ended."""
        return json.loads(self.output())
