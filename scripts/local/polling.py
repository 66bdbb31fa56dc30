"""Waiting for a condition without guessing how long it takes."""

import time
from typing import Callable

_INTERVAL_SECONDS = 0.05


def wait_until(condition: Callable[[], bool], what: str, limit_seconds: float = 60.0) -> None:
    """Polls until `condition` holds. The limit only ends a run that hangs: TimeoutError."""
    deadline = time.monotonic() + limit_seconds
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {limit_seconds} s: {what}")
        time.sleep(_INTERVAL_SECONDS)
