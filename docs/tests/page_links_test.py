#!/usr/bin/python3
"""Checks that the pages' links lead somewhere, and that every page can be reached from the README."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")


def links_of(page: pathlib.Path) -> list[pathlib.Path]:
    """Returns the files and directories that a page links to, links to other sites left out."""
    targets = _LINK.findall(page.read_text(encoding="utf-8"))
    return [(page.parent / target).resolve() for target in targets if "://" not in target]


def reachable_pages() -> set[pathlib.Path]:
    """Returns the pages that links lead to from the README."""
    found: set[pathlib.Path] = set()
    waiting = [ROOT / "README.md"]
    while waiting:
        page = waiting.pop()
        if page in found:
            continue
        found.add(page)
        waiting += [target for target in links_of(page) if target.suffix == ".md" and target.exists()]
    return found


class PageLinksTest(unittest.TestCase):
    """The README, CONTRIBUTING and what is below docs/; design notes are found by their directory."""

    def setUp(self) -> None:
        self.pages = [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]
        self.assertTrue(self.pages)

    def test_links_lead_somewhere(self) -> None:
        broken = [f"{page.relative_to(ROOT)}: {target}" for page in self.pages
                  for target in links_of(page) if not target.exists()]
        self.assertEqual([], broken)

    def test_every_page_is_reachable(self) -> None:
        design_notes = ROOT / "docs" / "design"
        wanted = {page for page in self.pages if design_notes not in page.parents}
        self.assertEqual(set(), wanted - reachable_pages())


if __name__ == "__main__":
    unittest.main()
