"""Overload: goodput and refusals at twice the capacity, against a queue without a bound."""

import argparse
import dataclasses
import pathlib

from .. import specs
from ..callers import CallersRun, CallersSettings
from ..deployment import Deployment
from .table import format_table

NAME = "overload"
_ENDPOINTS = 3
_SLOTS = 7
_SERVICE_TIME_SECONDS = 0.1
_CAPACITY = _ENDPOINTS * _SLOTS / _SERVICE_TIME_SECONDS  # requests a second
_DEADLINE_SECONDS = 1
_WARM_UP_SECONDS = 5
_CONNECTIONS = 60
_LOADS = (1.0, 2.0)

_SERVICE = specs.ServiceSpec("stock", _ENDPOINTS, "http3")
_SPEC = dataclasses.replace(
    specs.PARTS_PLATFORM, services=(_SERVICE,),
    backend_flags=(f"--slots={_SLOTS}", f"--service_time={_SERVICE_TIME_SECONDS * 1000:.0f}ms"))

# What the agents of each variant are told, and whether callers tell their deadline.
_VARIANTS = (
    ("admission", specs.with_settings(_SPEC, slots=_SLOTS), True),
    ("unbounded queue", specs.with_settings(
        _SPEC, slots=_SLOTS, queue_length=100_000, brownout_enter=1, brownout_leave=1,
        request_deadline="1h"), False),
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds this experiment's options."""
    parser.add_argument("--seconds", type=int, default=30, help="of each of the four runs")


def run(arguments: argparse.Namespace, programs: pathlib.Path, directory: pathlib.Path) -> str:
    """Runs the experiment and returns its table."""
    rows = []
    for variant, spec, says_deadline in _VARIANTS:
        own_directory = directory / variant.replace(" ", "-")
        own_directory.mkdir()
        with Deployment(spec, programs, own_directory) as deployment:
            reports = [_run_load(deployment, load, says_deadline, arguments.seconds, seed)
                       for seed, load in enumerate(_LOADS, 1)]
        rows += [_row(variant, load, report, reports[0])
                 for load, report in zip(_LOADS, reports)]
    names = ("variant", "load", "due/s", "goodput/s", "of that at 1.0", "refused/s",
             "refusal median ms", "refusal p99 ms", "answer p99 ms", "late/s", "unknown", "unsent",
             "answers/s by endpoint")
    return format_table(names, rows)


def _run_load(deployment: Deployment, load: float, says_deadline: bool, seconds: int,
              seed: int) -> dict:
    flags = (f"--requests_per_second={load * _CAPACITY}", f"--connections={_CONNECTIONS}",
             f"--warm_up={_WARM_UP_SECONDS}s", f"--duration={seconds}s",
             f"--deadline={_DEADLINE_SECONDS}s", "--patience=60s",
             f"--says_deadline={str(says_deadline).lower()}")
    callers = CallersRun(deployment, CallersSettings("stock", seed=seed, flags=flags))
    return callers.wait(seconds + _WARM_UP_SECONDS)


def _row(variant: str, load: float, report: dict, at_capacity: dict) -> tuple:
    seconds = report["measured_seconds"]
    goodput = report["in_time"] / seconds
    reference = at_capacity["in_time"] / at_capacity["measured_seconds"]
    return (variant, f"{load:g} x {_CAPACITY:.0f}/s", report["due"] / seconds, goodput,
            goodput / reference, report["not_run"] / seconds,
            report["refusals"]["median_us"] / 1000, report["refusals"]["p99_us"] / 1000,
            report["answers"]["p99_us"] / 1000,
            (report["answered"] - report["in_time"]) / seconds, report["unknown"],
            report["unsent"],
            ", ".join(f"{count / seconds:.0f}"
                      for count in sorted(report["answers_by_endpoint"].values())))
