"""The admin port of a process, as a client."""

import http.client
import json
from typing import Any

_TIMEOUT_SECONDS = 5.0


class AdminError(Exception):
    """A process refused a request on its admin port, or none answered."""


def request_text(address: str, path: str, body: Any = None) -> str:
    """Gets `path`, or posts `body` as JSON to it; returns the answer's text."""
    method, payload = ("GET", None) if body is None else ("POST", json.dumps(body))
    connection = http.client.HTTPConnection(address, timeout=_TIMEOUT_SECONDS)
    try:
        connection.request(method, path, payload)
        response = connection.getresponse()
        text = response.read().decode()
    except (OSError, http.client.HTTPException) as error:
        raise AdminError(f"{method} http://{address}{path}: {error}") from error
    finally:
        connection.close()
    if response.status != http.client.OK:
        raise AdminError(f"{method} http://{address}{path}: {response.status} {text.strip()}")
    return text


def request_json(address: str, path: str, body: Any = None) -> Any:
    """As request_text(), with the answer read as JSON."""
    return json.loads(request_text(address, path, body))


def read_metric(address: str, series: str) -> int:
    """Returns the value of one series, as 'name{label="value"}'; 0 where there is none."""
    for line in request_text(address, "/metrics").splitlines():
        name, _, value = line.rpartition(" ")
        if name == series:
            return int(float(value))
    return 0


def is_ready(address: str) -> bool:
    """Tells whether the process says that it can take traffic."""
    try:
        request_text(address, "/readyz")
    except AdminError:
        return False
    return True
