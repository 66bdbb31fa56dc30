"""Agents killed while callers repeat keyed reservations: both sides' ledgers."""

import argparse
import dataclasses
import pathlib
import signal
import time

from .. import admin, polling, specs
from ..callers import CallersRun, CallersSettings, compare_ledgers
from ..deployment import Deployment
from .table import format_table

NAME = "agent-kills"
_DOWN_SECONDS = 10.0
_GRACE_SECONDS = 60.0
# Endpoints that refuse what comes too thick, so that there is "not run", too.
_SPEC = dataclasses.replace(
    specs.with_settings(specs.with_kind(specs.PARTS_PLATFORM, "http3"), slots=3, queue_length=2),
    backend_flags=("--slots=2", "--queue_limit=0"))


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds this experiment's options."""
    parser.add_argument("--kills", type=int, default=5)
    parser.add_argument("--seconds-between", type=float, default=40.0,
                        help="above the 30 s in which copies are restored, each loss stands alone")


def run(arguments: argparse.Namespace, programs: pathlib.Path, directory: pathlib.Path) -> str:
    """Runs the experiment and returns its table."""
    with Deployment(_SPEC, programs, directory) as deployment:
        seconds = (arguments.kills + 2) * arguments.seconds_between
        callers = CallersRun(deployment, CallersSettings("stock", flags=(
            f"--duration={seconds + _GRACE_SECONDS}s", "--requests_per_second=120",
            "--connections=40", "--attempts=6", "--echo_share=0.5", "--patience=1s",
            "--repeat_after=100ms")))
        endpoints = deployment.layout.endpoints_of("stock")
        for kill in range(arguments.kills):
            time.sleep(arguments.seconds_between)
            _kill_and_replace(deployment, endpoints[kill % len(endpoints)].name)
        time.sleep(arguments.seconds_between)
        callers.end()
        report = callers.report()
        differences = compare_ledgers(report, deployment.ledgers().values())
    keys = report["keys"]
    return format_table(("agents killed", "measured"), (
        ("kills", arguments.kills), ("seconds between", arguments.seconds_between),
        ("reservations", sum(len(of_outcome) for of_outcome in keys.values())),
        ("answered", len(keys["answered"])), ("not run", len(keys["not_run"])),
        ("unknown", len(keys["unknown"])), ("repeats", report["repeats"]),
        ("attempts given up", report["given_up"]),
        ("ran twice", len(differences.ran_twice)),
        ("called not run and ran", len(differences.ran_though_refused)),
        ("answered and never ran", len(differences.answered_but_never_ran)),
        ("ran and never sent", len(differences.never_sent)),
        ("wrong answers", report["wrong_answers"])))


def _kill_and_replace(deployment: Deployment, endpoint: str) -> None:
    agent = deployment.agents[endpoint]
    agent.send_signal(signal.SIGKILL)
    agent.wait(60)
    time.sleep(_DOWN_SECONDS)
    agent.start()

    def is_settled() -> bool:
        try:
            return deployment.is_settled()
        except admin.AdminError:
            return False

    polling.wait_until(is_settled, "every node has its settings and tables")
