#!/usr/bin/python3
"""Guards against nodes that stand still while nobody reads their log: a node whose standard error is a full
pipe starts, and serves its admin port."""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
sys.path.insert(0, str(ROOT / "docs" / "tests"))

import metrics_page_test  # noqa: E402  the path is set above
from local import polling, ports  # noqa: E402

_ANSWER_SECONDS = 5.0  # a node that stands still takes the connection and answers nothing
programs = pathlib.Path()


def make_full_pipe() -> tuple[int, int]:
    """Returns both ends of a pipe that has room for nothing more."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(writer, True)
    return reader, writer


def read_metrics(address: str) -> str:
    """Returns the node's metrics; an empty text while it doesn't serve."""
    try:
        with urllib.request.urlopen(f"http://{address}/metrics", timeout=_ANSWER_SECONDS) as answer:
            return answer.read().decode("utf-8")
    except (urllib.error.URLError, TimeoutError):
        return ""


class FullLogTest(unittest.TestCase):
    """Nodes don't wait for the reader of their log."""

    def test_a_node_serves_while_nobody_reads_its_log(self) -> None:
        for role in ("balancer", "agent"):
            with self.subTest(role=role), tempfile.TemporaryDirectory() as name:
                address = ports.PortAllocator().next_address()
                settings = metrics_page_test.node_settings(role, "datagram") | {"admin_address": address}
                if role == "agent":
                    settings["agent"]["datagram_address"] = metrics_page_test.UNUSED_ADDRESS
                file = pathlib.Path(name) / "node.yaml"
                file.write_text(json.dumps(settings), encoding="utf-8")
                self._expect_to_serve([programs / f"gaugevalve-{role}", "--settings", file], address)

    def _expect_to_serve(self, command: list, address: str) -> None:
        reader, writer = make_full_pipe()
        process = subprocess.Popen(command, stderr=writer)
        try:
            polling.wait_until(lambda: read_metrics(address) != "",
                               "the node serves its metrics")
        finally:
            process.kill()
            process.wait()
            os.close(reader)
            os.close(writer)


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
