"""Latency of a reservation through the system against asking its endpoints straight."""

import argparse
import dataclasses
import pathlib

from .. import specs
from ..callers import CallersRun, CallersSettings
from ..deployment import Deployment
from .table import format_table

NAME = "latency"
_ENDPOINTS = 3
_CONNECTIONS = 30
_WARM_UP_SECONDS = 3
_SERVICE_TIMES_MILLISECONDS = (20, 1)
_SERVICE = specs.ServiceSpec("stock", _ENDPOINTS, "http3", settings=(("slots", 7),))

# The ways to ask: name, whether straight, and the callers' flags.
_WAYS = (
    ("straight, HTTP/1.1", True, ("--nokeyed",)),
    ("HTTP/3, without a key", False, ("--nokeyed",)),
    ("HTTP/3, with a key", False, ("--keyed",)),
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds this experiment's options."""
    parser.add_argument("--seconds", type=int, default=15, help="of each run")
    parser.add_argument("--rounds", type=int, default=2, help="rounds over all ways")
    parser.add_argument("--requests-per-second", type=float, default=60)


def run(arguments: argparse.Namespace, programs: pathlib.Path, directory: pathlib.Path) -> str:
    """Runs the experiment and returns its table."""
    rows = []
    for milliseconds in _SERVICE_TIMES_MILLISECONDS:
        spec = dataclasses.replace(specs.PARTS_PLATFORM, services=(_SERVICE,),
                                   backend_flags=(f"--service_time={milliseconds}ms",))
        own_directory = directory / str(milliseconds)
        own_directory.mkdir()
        with Deployment(spec, programs, own_directory) as deployment:
            for round_number in range(arguments.rounds):
                rows += _run_round(deployment, arguments, milliseconds, round_number)
    names = ("service time ms", "way", "answered", "median ms", "p99 ms", "median ratio",
             "p99 ratio", "median added ms")
    return format_table(names, rows)


def _run_round(deployment: Deployment, arguments: argparse.Namespace, milliseconds: int,
               round_number: int) -> list[tuple]:
    rows = []
    for number, (name, is_direct, flags) in enumerate(_WAYS, 1):
        common = (f"--requests_per_second={arguments.requests_per_second}",
                  f"--connections={_CONNECTIONS}", f"--warm_up={_WARM_UP_SECONDS}s",
                  f"--duration={arguments.seconds}s")
        callers = CallersRun(deployment, CallersSettings(
            "stock", seed=round_number * len(_WAYS) + number, is_direct=is_direct,
            flags=(*common, *flags)))
        report = callers.wait(arguments.seconds + _WARM_UP_SECONDS)
        median = report["answers"]["median_us"] / 1000
        ninety_ninth = report["answers"]["p99_us"] / 1000
        if is_direct:
            base_median, base_ninety_ninth = median, ninety_ninth
        rows.append((milliseconds, name, f"{report['answered']} of {report['due']}", median,
                     ninety_ninth, median / base_median, ninety_ninth / base_ninety_ninth,
                     median - base_median))
    return rows
