#!/usr/bin/python3
"""Checks that the users' platform is known in one place: its paths and field names stand in platform/,
deploy/ and the pages that explain them, and nowhere else."""

import pathlib
import re
import subprocess
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# Paths and field names that only the platform has.
WORDS = ["/gaugevalve/instances", "/gaugevalve/readiness", "kv-key", "kv-range", "kv-watch", "kv-txn",
         "kv-lease", "kv-keep", "op/config", "datagram_addr", "heartbeat_url", "warmup_left_ms",
         "health_path", "path_prefix", "expected_rev", "internal_ports", "GAUGEVALVE_CONFIG",
         "fault_tolerance", "machine_class", "control_plane", "BOUNCED", "config_apply_ms", "seed_lag_s"]
ALLOWED = ("platform/", "deploy/", "journal/", "docs/design/0013-", "docs/operators/platform.md",
           "docs/OPERATIONS.md", "docs/incidents/", "docs/FINDINGS.md", "docs/QUESTIONS.md", "DEVELOPERS.md",
           "docs/tests/platform_words_test.py", "docs/CAPACITY.md", "docs/RESULTS.md")


def tracked_files() -> list[pathlib.Path]:
    """Returns the files of the checkout that aren't allowed to have the words."""
    listing = subprocess.run(["git", "ls-files", "-co", "--exclude-standard"], cwd=ROOT, text=True,
                             stdout=subprocess.PIPE, check=True).stdout.splitlines()
    return [ROOT / name for name in listing if not name.startswith(ALLOWED) and (ROOT / name).is_file()]


class PlatformWordsTest(unittest.TestCase):
    """One test: the folder can be deleted and nothing else knows of it."""

    def test_no_word_of_the_platform_stands_elsewhere(self) -> None:
        files = tracked_files()
        self.assertTrue(files)
        found = []
        for path in files:
            text = path.read_bytes().decode("utf-8", errors="replace")
            found += [f"{path.relative_to(ROOT)}: {word}" for word in WORDS if re.search(rf"(?<!\w){re.escape(word)}(?!\w)", text)]
        self.assertEqual([], found)


if __name__ == "__main__":
    unittest.main()
