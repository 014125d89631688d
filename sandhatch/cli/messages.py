"""What the command line tells people on standard error."""

from __future__ import annotations

import sys


def warn(text: str) -> None:
    """Print one line of warning on standard error."""
    print(f"sandhatch: {text}", file=sys.stderr)
