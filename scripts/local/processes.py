"""Processes of a deployment: started, signalled and ended by their own ids only."""

import pathlib
import signal
import subprocess
import time
from typing import Sequence

import psutil

from . import admin, polling

_END_SECONDS = 5.0
_ASK_AGAIN_SECONDS = 0.1


class ManagedProcess:
    """One process, with its standard output and its log in files of the deployment's directory."""

    def __init__(self, name: str, command: Sequence[str], directory: pathlib.Path,
                 admin_address: str = "") -> None:
        self.name = name
        self.command = list(command)
        self.admin_address = admin_address
        self.log_file = directory / f"{name}.log"
        self.output_file = directory / f"{name}.out"
        self._process: psutil.Popen | None = None

    def start(self) -> None:
        """Starts the process; an earlier life of it must have ended."""
        with open(self.log_file, "ab") as log, open(self.output_file, "wb") as output:
            self._process = psutil.Popen(self.command, stdin=subprocess.DEVNULL, stdout=output,
                                         stderr=log)

    def wait_ready(self) -> None:
        """Waits until the process says that it is ready; RuntimeError when it ends instead."""

        def is_ready() -> bool:
            if not self.is_running():
                raise RuntimeError(f"{self.name} ended with {self.exit_code()}:\n{self.log_tail()}")
            return admin.is_ready(self.admin_address)

        polling.wait_until(is_ready, f"{self.name} is ready")

    def is_running(self) -> bool:
        """Tells whether the process lives, frozen ones included."""
        return self._process is not None and self._process.poll() is None

    def exit_code(self) -> int | None:
        """Returns the exit code; None while the process runs."""
        return None if self._process is None else self._process.poll()

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self._process.send_signal(number)

    def wait(self, limit_seconds: float) -> int:
        """Waits for the process to end; psutil.TimeoutExpired when it doesn't."""
        return self._process.wait(limit_seconds)

    def resident_bytes(self) -> int:
        """Returns the memory that the process holds."""
        return self._process.memory_info().rss

    def log_tail(self, lines: int = 20) -> str:
        """Returns the last lines of the log."""
        return "\n".join(self.log_file.read_text(errors="replace").splitlines()[-lines:])


def end_all(processes: Sequence[ManagedProcess]) -> None:
    """Ends the processes: asked to until a common deadline, then, those that are left, killed.

    Asked again and again, since the daemons take a second request for "at once" and two that come
    together for one.
    """
    running = [process for process in processes if process.is_running()]
    for process in running:
        process.send_signal(signal.SIGCONT)
    deadline = time.monotonic() + _END_SECONDS
    while running and time.monotonic() < deadline:
        for process in running:
            process.send_signal(signal.SIGTERM)
        time.sleep(_ASK_AGAIN_SECONDS)
        running = [process for process in running if process.is_running()]
    for process in running:
        process.send_signal(signal.SIGKILL)
    for process in running:
        process.wait(_END_SECONDS)
