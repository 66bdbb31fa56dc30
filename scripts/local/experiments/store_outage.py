"""An outage of the store: what goes on, what is refused, and how the store is asked on return."""

import argparse
import collections
import pathlib
import signal
import time

from .. import admin, polling, specs
from ..deployment import Deployment
from ..load import LoadRun, LoadSettings
from .table import format_table

NAME = "store-outage"
_RATE_LIMIT_PER_SECOND = 100
_POLL_SECONDS = 0.1
_WINDOW_POLLS = 10  # polls in the second whose requests are counted
_RETURN_SECONDS = 60.0  # for how long the store is watched after its return
_LONG_LIFETIME_SECONDS = 120.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds this experiment's options."""
    parser.add_argument("--seconds", type=float, default=600.0,
                        help="length of the outage, half of it refusing and half of it hanging")


def run(arguments: argparse.Namespace, programs: pathlib.Path, directory: pathlib.Path) -> str:
    """Runs the experiment and returns its tables."""
    with Deployment(specs.PARTS_PLATFORM, programs, directory) as deployment:
        deployment.set_store_faults(requests_per_second=_RATE_LIMIT_PER_SECOND)
        load = LoadRun(deployment, LoadSettings(
            seconds=arguments.seconds + 2 * _RETURN_SECONDS, flows_per_second=10,
            flow_lifetime_seconds=_LONG_LIFETIME_SECONDS, request_interval_milliseconds=500,
            silence_seconds=30))
        outage = _Outage(deployment, arguments.seconds)
        outage.run()
        load.end()
        report = load.report()
        return "\n\n".join((outage.table(), _flow_table(report, deployment)))


class _Outage:
    """Takes the store away while an endpoint drains and a balancer is replaced; notes findings."""

    def __init__(self, deployment: Deployment, seconds: float) -> None:
        self._deployment = deployment
        self._seconds = seconds
        self._rows: list[tuple[str, object]] = []

    def run(self) -> None:
        """Goes through the outage and the return."""
        drained = self._deployment.layout.endpoints[0]
        self._deployment.control("drain", f"{drained.service.name}/{drained.name}")
        started = time.monotonic()
        self._deployment.set_store_faults(outage="refuse")
        self._note("outage, s", self._seconds)
        flows = self._wait_for_no_new_flows(drained.name)
        self._try_edit("edit while refused")
        self._replace_balancer()
        _sleep_until(started + self._seconds / 2)
        self._deployment.set_store_faults(outage="hang")
        self._try_edit("edit while hanging")
        _sleep_until(started + self._seconds)
        new_flows = len(self._flows_of(drained.name) - flows)
        self._note("new flows on the endpoint whose drain was accepted before", new_flows)
        self._return()

    def table(self) -> str:
        """Returns what was noted."""
        return format_table(("store outage", "measured"), self._rows)

    def _note(self, what: str, value: object) -> None:
        self._rows.append((what, value))
        print(f"{what}: {value}", flush=True)

    def _flows_of(self, endpoint: str) -> set[int]:
        return set(self._deployment.ledgers()[endpoint]["datagram"]["flows"])

    def _wait_for_no_new_flows(self, endpoint: str) -> set[int]:
        last = self._flows_of(endpoint)
        while True:
            time.sleep(2)
            now = self._flows_of(endpoint)
            if now == last:
                return now
            last = now

    def _try_edit(self, what: str) -> None:
        try:
            self._deployment.control("--timeout=10s", "tree", "set", "services.stock.slots", "6")
            self._note(what, "ACCEPTED")
        except RuntimeError as error:
            self._note(what, " / ".join(str(error).splitlines()[1:]))

    def _replace_balancer(self) -> None:
        victim, *others = self._deployment.balancers
        process = self._deployment.balancers[victim]
        process.send_signal(signal.SIGKILL)
        process.wait(60)
        self._deployment.spray_over(others)
        started = time.monotonic()
        process.start()
        process.wait_healthy()
        polling.wait_until(lambda: _is_settled(self._deployment), "the new balancer has all tables")
        self._note("new balancer has settings and all tables after, s",
                   round(time.monotonic() - started, 1))
        self._deployment.spray_over([victim])  # it alone serves
        time.sleep(self._seconds / 10)
        self._deployment.spray_over([victim, *others])

    def _return(self) -> None:
        before = self._counters()
        self._deployment.set_store_faults(outage="none")
        totals = collections.deque([before["total"]], maxlen=_WINDOW_POLLS + 1)
        peak = 0
        returned = time.monotonic()
        while time.monotonic() < returned + _RETURN_SECONDS:
            time.sleep(_POLL_SECONDS)
            totals.append(self._counters()["total"])
            peak = max(peak, totals[-1] - totals[0])
        after = self._counters()
        self._note(f"requests in the {_RETURN_SECONDS:.0f} s after the return",
                   after["total"] - before["total"])
        self._note(f"most requests within a second, of {_RATE_LIMIT_PER_SECOND} allowed", peak)
        self._note("requests answered 429 after the return",
                   after["rate_limited"] - before["rate_limited"])
        self._try_edit("edit after the return")

    def _counters(self) -> dict[str, int]:
        return admin.request_json(self._deployment.layout.store_admin_address, "/admin/counters")


def _is_settled(deployment: Deployment) -> bool:
    try:
        return deployment.is_settled()
    except admin.AdminError:
        return False


def _sleep_until(moment: float) -> None:
    time.sleep(max(0.0, moment - time.monotonic()))


def _flow_table(report: dict, deployment: Deployment) -> str:
    seen: collections.Counter = collections.Counter()
    for ledger in deployment.ledgers().values():
        seen.update(ledger["datagram"]["flows"])
    moved = sum(1 for count in seen.values() if count > 1)
    rows = [(name, service["flows_opened"], service["answered"], service["flows_broken"],
             service["crossed"], service["unanswered"])
            for name, service in report["services"].items()]
    table = format_table(("service", "flows", "answered", "broken", "crossed", "unanswered"), rows)
    return f"{table}\n\nflows that more than one endpoint saw: {moved}"
