"""Figures as a table."""

from typing import Sequence


def format_table(names: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Returns a Markdown table; floats with three decimals."""
    lines = [list(names), ["---"] * len(names)]
    lines += [[f"{cell:.3f}" if isinstance(cell, float) else str(cell) for cell in row]
              for row in rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)
