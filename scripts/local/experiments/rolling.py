"""Rolling replacement of balancers, endpoints and agents with http3 services near their capacity."""

import argparse
import dataclasses
import pathlib
import re
import signal
import time

from .. import admin, polling, specs
from ..callers import executions
from ..deployment import Deployment
from ..load import LoadRun, LoadSettings
from .table import format_table

NAME = "rolling"
_SLOTS = 7
_SERVICE_TIME_SECONDS = 0.1
_REQUEST_INTERVAL_MILLISECONDS = 100
_FLOW_LIFETIME_SECONDS = 10.0
_SETTLE_SECONDS = 3.0
_SHORT_DRAIN_SECONDS = 3
_SILENCE_SECONDS = 30
_NEVER_OPENED = ("never_answered", "board_refused")

_SPEC = dataclasses.replace(
    specs.with_settings(specs.with_kind(specs.PARTS_PLATFORM, "http3"), slots=_SLOTS),
    backend_flags=(f"--slots={_SLOTS}", f"--service_time={_SERVICE_TIME_SECONDS * 1000:.0f}ms",
                   "--drawing_bytes=20000"))


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds this experiment's options."""
    parser.add_argument("--utilisation", type=float, default=0.7, help="share of the slots in use")


def run(arguments: argparse.Namespace, programs: pathlib.Path, directory: pathlib.Path) -> str:
    """Runs the experiment and returns its tables."""
    tables = []
    parts = (("balancers, endpoints, an edit", _replace_all, _SPEC),
             ("agents, SIGTERM, the default drain", _replace_agents, _SPEC),
             (f"an agent, SIGTERM, --drain_timeout={_SHORT_DRAIN_SECONDS}s", _replace_one_agent,
              dataclasses.replace(_SPEC, agent_flags=(f"--drain_timeout={_SHORT_DRAIN_SECONDS}s",))))
    for index, (name, step, spec) in enumerate(parts):
        own_directory = directory / str(index)
        own_directory.mkdir()
        with Deployment(spec, programs, own_directory) as deployment:
            tables.append(f"{name}\n\n" + _run_part(deployment, arguments, step))
    return "\n\n".join(tables)


def _run_part(deployment: Deployment, arguments: argparse.Namespace, step) -> str:
    loads = [_start_load(deployment, service, arguments.utilisation, seed)
             for seed, service in enumerate(deployment.spec.services, 1)]
    time.sleep(_FLOW_LIFETIME_SECONDS)  # until about as many flows end as are opened
    started = time.monotonic()
    requests = _requests_run(deployment)
    notes = step(deployment)
    seconds = time.monotonic() - started
    ran = {name: count - requests[name] for name, count in _requests_run(deployment).items()}
    rows = []
    for load, service in zip(loads, deployment.spec.services):
        load.end()
        report = load.report()["services"][service.name]
        slots = service.endpoints * _SLOTS
        rows.append(_row(service.name, report, ran[service.name] * _SERVICE_TIME_SECONDS /
                         (slots * seconds), _ledger_faults(deployment, service.name, report)))
    names = ("service", "slots in use", "connections", "open boards cut", "never opened",
             "by cause", "answered",
             "not run", "unknown", "cut", "crossed", "board gaps", "ran twice", "refused but ran",
             "answered, not run")
    return "\n".join((f"{seconds:.0f} s of changes; {notes}", "", format_table(names, rows)))


def _start_load(deployment: Deployment, service: specs.ServiceSpec, utilisation: float,
                seed: int) -> LoadRun:
    cycle = _SERVICE_TIME_SECONDS * 1.1 + _REQUEST_INTERVAL_MILLISECONDS / 1000
    flows = utilisation * service.endpoints * _SLOTS / _SERVICE_TIME_SECONDS * cycle
    return LoadRun(deployment, LoadSettings(
        seconds=600, flows_per_second=flows / _FLOW_LIFETIME_SECONDS,
        flow_lifetime_seconds=_FLOW_LIFETIME_SECONDS,
        request_interval_milliseconds=_REQUEST_INTERVAL_MILLISECONDS, silence_seconds=_SILENCE_SECONDS,
        seed=seed, services=(service.name,)))


def _replace_all(deployment: Deployment) -> str:
    names = list(deployment.balancers)
    for name in names:
        process = deployment.balancers[name]
        deployment.spray_over([other for other in names if other != name])
        process.send_signal(signal.SIGTERM)
        process.wait(60)
        process.start()
        _wait_settled(deployment)
        deployment.spray_over(names)
    deployment.control("tree", "set", "services.stock.idle_timeout", "4m")
    for endpoint in deployment.layout.endpoints:
        path = f"{endpoint.service.name}/{endpoint.name}"
        deployment.control("drain", path)
        time.sleep(_SETTLE_SECONDS)
        boards = _boards(deployment, endpoint.name)
        time.sleep(_SETTLE_SECONDS)
        late = _boards(deployment, endpoint.name) - boards
        if late:
            print(f"{late} boards opened on {endpoint.name} after {_SETTLE_SECONDS} s of its drain")
        deployment.control("undrain", path)
        time.sleep(_SETTLE_SECONDS)
    return f"{len(names)} balancers replaced, {len(deployment.layout.endpoints)} endpoints drained"


def _replace_agents(deployment: Deployment) -> str:
    notes = [_end_agent(deployment, service.name, limit_seconds=180)
             for service in deployment.spec.services]
    return "; ".join(notes)


def _replace_one_agent(deployment: Deployment) -> str:
    note = _end_agent(deployment, deployment.spec.services[0].name, limit_seconds=60)
    time.sleep(_SILENCE_SECONDS + _SETTLE_SECONDS)  # until callers notice what nobody tells them
    return note


def _end_agent(deployment: Deployment, service: str, limit_seconds: float) -> str:
    endpoint = deployment.layout.endpoints_of(service)[0]
    agent = deployment.agents[endpoint.name]
    boards = _open_boards(deployment, endpoint.agent.admin_address)
    started = time.monotonic()
    agent.send_signal(signal.SIGTERM)
    code = agent.wait(limit_seconds)
    seconds = time.monotonic() - started
    agent.start()
    _wait_settled(deployment)
    return f"{agent.name} with {boards} boards ended with {code} after {seconds:.1f} s"


def _open_boards(deployment: Deployment, admin_address: str) -> int:
    metrics = admin.request_text(admin_address, "/metrics")
    match = re.search(r'^gaugevalve_agent_requests\{state="streaming"\} (\S+)$', metrics,
                      re.MULTILINE)
    return int(float(match.group(1)))


def _boards(deployment: Deployment, endpoint: str) -> int:
    return deployment.ledgers()[endpoint]["http"]["boards"]


def _requests_run(deployment: Deployment) -> dict[str, int]:
    counts = {service.name: 0 for service in deployment.spec.services}
    for ledger in deployment.ledgers().values():
        http = ledger["http"]
        counts[ledger["service"]] += http["drawings"] + sum(http["reservations"].values())
    return counts


def _ledger_faults(deployment: Deployment, service: str, report: dict) -> tuple[int, int, int]:
    ran = executions(ledger for ledger in deployment.ledgers().values()
                     if ledger["service"] == service)
    keys = report["reservation_keys"]
    return (sum(1 for count in ran.values() if count > 1),
            sum(1 for key in keys["not_run"] if ran[key] > 0),
            sum(1 for key in keys["answered"] if ran[key] == 0))


def _row(name: str, report: dict, used: float, faults: tuple[int, int, int]) -> tuple:
    kinds = [report["reservations"], report["drawings"]]
    causes = ", ".join(f"{cause} {count}" for cause, count in report["broken_by_cause"].items())

    def total(field: str) -> int:
        return sum(kind[field] for kind in kinds)

    never_opened = sum(report["broken_by_cause"].get(cause, 0) for cause in _NEVER_OPENED)
    return (name, used, report["flows_opened"], report["flows_broken"] - never_opened,
            never_opened, causes or "-",
            total("answered"), total("not_run"), total("unknown"), total("cut_as_whole"),
            total("crossed"), report["board_gaps"], *faults)


def _wait_settled(deployment: Deployment) -> None:
    def is_settled() -> bool:
        try:
            return deployment.is_settled()
        except admin.AdminError:
            return False

    polling.wait_until(is_settled, "every node has its settings and tables")
