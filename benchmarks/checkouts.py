"""Other checkouts of the project, which benchmarks measure beside this one.

It changes nothing in them. Source: the project's own; versions before the renaming had another package.
"""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).parent.parent  # of this checkout
PACKAGE = "sandhatch"
FORMER_PACKAGE = "larkweir"  # of versions before the renaming


def package_of(checkout: Path) -> str:
    """The package that `python -m` starts in this checkout."""
    return PACKAGE if (checkout / PACKAGE).is_dir() else FORMER_PACKAGE
