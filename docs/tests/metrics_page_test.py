#!/usr/bin/python3
"""Compares docs/operators/metrics.md with the sources and with what running programs export."""

import argparse
import dataclasses
import json
import pathlib
import re
import secrets
import subprocess
import sys
import tempfile
import unittest
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PAGE = ROOT / "docs" / "operators" / "metrics.md"
SOURCE_DIRECTORIES = ["daemons", "libs"]
ANY_PORT = "127.0.0.1:0"
UNUSED_ADDRESS = "127.0.0.1:9"
_LITERAL = re.compile(r'"(gaugevalve_[a-z0-9_]+)"')
_TYPE_LINE = re.compile(r"^# TYPE (\S+) (\S+)$", re.MULTILINE)
_SAMPLE_LINE = re.compile(r"^(\w+)\{([^}]*)\}", re.MULTILINE)
_LABEL = re.compile(r'(\w+)="')
programs = pathlib.Path()


@dataclasses.dataclass(frozen=True)
class Metric:
    """A metric's type and the names of its labels."""

    type: str
    labels: frozenset[str]


def metrics_on_page() -> dict[str, Metric]:
    """Returns the rows of the page's tables that begin with a metric, a type and labels."""
    metrics = {}
    for line in PAGE.read_text(encoding="utf-8").splitlines():
        cells = [cell.strip() for cell in line.split("|")[1:-1]]
        if len(cells) == 5 and cells[0].startswith("`gaugevalve_"):
            metrics[cells[0].strip("`")] = Metric(cells[1], frozenset(cells[2].split()))
    return metrics


def names_in_sources() -> set[str]:
    """Returns the metrics that the sources name, tests and generated code left out."""
    names: set[str] = set()
    for directory in SOURCE_DIRECTORIES:
        for path in (ROOT / directory).rglob("*.cpp"):
            if not {"tests", "generated"} & set(path.parts):
                names.update(_LITERAL.findall(path.read_text(encoding="utf-8")))
    return names


def parse_exported(text: str) -> dict[str, Metric]:
    """Returns the metrics in Prometheus' text format."""
    labels: dict[str, set[str]] = {}
    for name, pairs in _SAMPLE_LINE.findall(text):
        labels.setdefault(name, set()).update(_LABEL.findall(pairs))
    return {name: Metric(kind, frozenset(labels.get(name, set())))
            for name, kind in _TYPE_LINE.findall(text)}


def node_settings(role: str, kind: str) -> dict:
    """Returns settings of a node without a store, on free ports; JSON is YAML."""
    settings = {
        "name": f"{role}-1", "role": role, "region": "north", "zone": "east",
        "data_address": ANY_PORT, "control_address": ANY_PORT, "admin_address": ANY_PORT,
        "static": {
            "services": [{"name": "orders", "kind": kind, "virtual_address": UNUSED_ADDRESS,
                          "bucket_count": 16}],
            "agents": [{"node": "agent-1", "service": "orders", "zone": "east",
                        "data_address": UNUSED_ADDRESS}]}}
    if role == "agent":
        settings["egress_address"] = UNUSED_ADDRESS
        settings["agent"] = {"service": "orders", "endpoint": "orders-1"}
    return settings


def add_http3(settings: dict, directory: pathlib.Path) -> None:
    """Adds what an agent of an http3 service needs, with new keys."""
    certificate, key = directory / "certificate.pem", directory / "key.pem"
    subprocess.run([programs / "gaugevalvectl", "certificate", "self-signed", "127.0.0.1",
                    certificate, key], check=True, stdout=subprocess.DEVNULL)
    connection_id_keys = directory / "connection-id-keys"
    connection_id_keys.write_text(f"0:{secrets.token_hex(16)}\n", encoding="ascii")
    settings["connection_id_key_file"] = str(connection_id_keys)
    settings["agent"].update(http_address=UNUSED_ADDRESS, certificate_file=str(certificate),
                             key_file=str(key))


def exported_by(role: str, kind: str) -> dict[str, Metric]:
    """Starts a node, reads its metrics and ends it."""
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        settings = node_settings(role, kind)
        if role == "agent" and kind == "http3":
            add_http3(settings, directory)
        elif role == "agent":
            settings["agent"]["datagram_address"] = UNUSED_ADDRESS
        file = directory / "node.yaml"
        file.write_text(json.dumps(settings), encoding="utf-8")
        command = [programs / f"gaugevalve-{role}", "--settings", file]
        with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as process:
            try:
                address = wait_for_admin_address(process, role)
                with urllib.request.urlopen(f"http://{address}/metrics") as answer:
                    return parse_exported(answer.read().decode("utf-8"))
            finally:
                process.terminate()
                process.communicate()


def wait_for_admin_address(process: subprocess.Popen, role: str) -> str:
    """Reads the log until the node has started; returns its admin address."""
    lines = []
    for line in process.stderr:
        lines.append(line)
        fields = dict(field.split("=", 1) for field in line.split() if "=" in field)
        if fields.get("event") == f"{role}_started":
            return fields["admin"]
    raise RuntimeError("the node did not start:\n" + "".join(lines))


class MetricsPageTest(unittest.TestCase):
    """The page lists every metric, and nothing else."""

    def test_page_names_what_the_sources_name(self) -> None:
        self.assertEqual(names_in_sources(), set(metrics_on_page()))

    def test_exported_metrics_are_as_the_page_says(self) -> None:
        page = metrics_on_page()
        for role, kind in (("balancer", "datagram"), ("agent", "datagram"), ("agent", "http3")):
            with self.subTest(role=role, kind=kind):
                exported = exported_by(role, kind)
                self.assertTrue(exported)
                self.assertEqual({name: page.get(name) for name in exported}, exported)


def main() -> None:
    """Takes the directory of the programs first."""
    global programs
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", type=pathlib.Path, required=True)
    arguments, rest = parser.parse_known_args()
    programs = arguments.programs.resolve()
    unittest.main(argv=[sys.argv[0], *rest])


if __name__ == "__main__":
    main()
