"""Formatting of rows as aligned text columns, for people at a terminal.

Not meant to be parsed: programs read the JSON form of the same rows.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

COLUMN_GAP = "  "


def format_table(rows: list[dict[str, Any]], columns: Sequence[str]) -> str:
    """Formats a header line and one line per row, each column as wide as its widest cell.

    Args:
        rows: Values by column name; a missing value becomes an empty cell.
        columns: Names of the columns to show, in order.
    """
    lines = [list(columns), *([str(row.get(column, "")) for column in columns] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(
        COLUMN_GAP.join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )
