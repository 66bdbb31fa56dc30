#!/usr/bin/python3
"""Compares docs/LOG-EVENTS.md with the events that the sources write."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SOURCE_DIRECTORIES = ["daemons", "examples", "libs", "platform", "standins", "tools"]
_EVENT = re.compile(r'Event\([^"();]*"([a-z0-9_]+)"\)')
_LITERAL = re.compile(r'"([a-z0-9_]+)"')
_NAME = re.compile(r"`([a-z0-9_]+)`")


def events_on_page() -> set[str]:
    """Returns the names in the first column of the page's table."""
    rows = (ROOT / "docs" / "LOG-EVENTS.md").read_text(encoding="utf-8").splitlines()
    return {name for row in rows if row.startswith("|") for name in _NAME.findall(row.split("|")[1])}


def read_sources() -> str:
    """Returns the text of all sources but tests and generated code."""
    paths = [path for directory in SOURCE_DIRECTORIES for path in (ROOT / directory).rglob("*.cpp")
             if not {"tests", "generated"} & set(path.parts)]
    return "\n".join(path.read_text(encoding="utf-8") for path in paths)


class LogEventsTest(unittest.TestCase):
    """Every event is on the page. Some names come from functions, so the other way is looser."""

    def test_events_of_the_sources_are_on_the_page(self) -> None:
        written = set(_EVENT.findall(read_sources()))
        self.assertTrue(written)
        self.assertEqual(set(), written - events_on_page())

    def test_events_on_the_page_are_in_the_sources(self) -> None:
        self.assertEqual(set(), events_on_page() - set(_LITERAL.findall(read_sources())))


if __name__ == "__main__":
    unittest.main()
