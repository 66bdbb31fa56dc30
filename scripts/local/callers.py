"""Callers that repeat their reservations, run against a deployment."""

import collections
import dataclasses
import json
import pathlib
import signal
from typing import Any, Iterable

from .deployment import Deployment
from .processes import ManagedProcess

_GRACE_SECONDS = 120.0


@dataclasses.dataclass(frozen=True)
class CallersSettings:
    """Flags of gaugevalve-callers for one service. With `is_direct` the endpoints are asked straight
    over HTTP/1.1, past the system. Attempts are spread over `other_services`, too."""

    service: str
    seed: int = 1
    is_direct: bool = False
    other_services: tuple[str, ...] = ()
    flags: tuple[str, ...] = ()


class CallersRun:
    """A run of gaugevalve-callers beside a deployment."""

    def __init__(self, deployment: Deployment, settings: CallersSettings) -> None:
        layout = deployment.layout
        addresses = ([endpoint.http_address for endpoint in layout.endpoints_of(settings.service)]
                     if settings.is_direct else
                     [layout.virtual_addresses[service]
                      for service in (settings.service, *settings.other_services)])
        self._process: ManagedProcess = deployment.run_beside(
            f"callers-{settings.seed}", "gaugevalve-callers",
            [f"--service={settings.service}", f"--addresses={','.join(addresses)}",
             f"--protocol={'http1' if settings.is_direct else 'http3'}", f"--seed={settings.seed}",
             *settings.flags])

    def is_running(self) -> bool:
        """Tells whether the run goes on."""
        return self._process.is_running()

    def end(self) -> None:
        """Lets no further reservation fall due and waits until the others are settled."""
        if self.is_running():
            self._process.send_signal(signal.SIGTERM)
            self._process.wait(_GRACE_SECONDS)

    def wait(self, seconds: float) -> dict[str, Any]:
        """Waits for the end of a run of `seconds` and returns its report."""
        self._process.wait(seconds + _GRACE_SECONDS)
        return self.report()

    def report(self) -> dict[str, Any]:
        """Returns the report of a run that has ended; RuntimeError when it failed."""
        if self._process.exit_code() != 0:
            raise RuntimeError(f"{self._process.command} ended with {self._process.exit_code()}:\n"
                               f"{self._process.log_tail()}")
        return json.loads(pathlib.Path(self._process.output_file).read_text(encoding="utf-8"))


@dataclasses.dataclass(frozen=True)
class LedgerDifferences:
    """Keys on which the callers' ledger and the endpoints' ledgers disagree."""

    ran_twice: list[str]
    ran_though_refused: list[str]  # each attempt was answered "not run"
    answered_but_never_ran: list[str]
    never_sent: list[str]


def executions(ledgers: Iterable[dict[str, Any]]) -> collections.Counter:
    """Returns how often each key ran, by all the endpoints' ledgers."""
    counts: collections.Counter = collections.Counter()
    for ledger in ledgers:
        counts.update(ledger["http"]["reservations"])
    return counts


def compare_ledgers(report: dict[str, Any],
                    ledgers: Iterable[dict[str, Any]]) -> LedgerDifferences:
    """Compares a run's report with the ledgers of endpoints that served no other run."""
    ran = executions(ledgers)
    keys = report["keys"]
    sent = {key for outcome in keys.values() for key in outcome}
    return LedgerDifferences(
        ran_twice=[key for key, count in ran.items() if count > 1],
        ran_though_refused=[key for key in keys["not_run"] if ran[key] > 0],
        answered_but_never_ran=[key for key in keys["answered"] if ran[key] == 0],
        never_sent=[key for key in ran if key not in sent])
