"""Rows for people at a terminal."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any


def table(rows: list[dict[str, Any]], columns: Sequence[str]) -> str:
    """Plain columns, as wide as what stands in them."""
    cells = [list(columns), *([str(row.get(column, "")) for column in columns] for row in rows)]
    widths = [max(len(line[n]) for line in cells) for n in range(len(columns))]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    )
