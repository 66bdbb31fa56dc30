#!/usr/bin/python3
"""Checks that the glossary's names of code exist, so that it can't fall behind a renaming."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
CODE_COLUMN = "in code"
SOURCE_DIRECTORIES = ["daemons", "libs", "standins", "tools"]
SOURCE_SUFFIXES = {".cpp", ".h", ".txt"}
_NAME = re.compile(r"`([^`]+)`")
_WORD = re.compile(r"[A-Za-z][A-Za-z0-9_-]*")


def cells_of(line: str) -> list[str]:
    """Returns the cells of a table's row."""
    return [cell.strip() for cell in line.split("|")[1:-1]]


def names_in_glossary() -> set[str]:
    """Returns the names in the tables' columns of code."""
    names: set[str] = set()
    column = None
    for line in (ROOT / "docs" / "GLOSSARY.md").read_text(encoding="utf-8").splitlines():
        cells = cells_of(line)
        if not cells:
            column = None
        elif column is None:
            column = cells.index(CODE_COLUMN)
        else:
            names.update(_NAME.findall(cells[column]))
    return names


def words_in_sources() -> set[str]:
    """Returns the words of all sources but tests and generated code."""
    words: set[str] = set()
    for directory in SOURCE_DIRECTORIES:
        for path in (ROOT / directory).rglob("*"):
            if path.suffix in SOURCE_SUFFIXES and not {"tests", "generated"} & set(path.parts):
                words.update(_WORD.findall(path.read_text(encoding="utf-8")))
    return words


class GlossaryTest(unittest.TestCase):
    """What the glossary calls the code's names are names in the code."""

    def test_names_exist(self) -> None:
        names = names_in_glossary()
        self.assertTrue(names)
        self.assertEqual(set(), names - words_in_sources())


if __name__ == "__main__":
    unittest.main()
