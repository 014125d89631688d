"""Other checkouts of the project, which benchmarks measure beside this one."""

from __future__ import annotations

from pathlib import Path

PACKAGE = "sandhatch"
FORMER_PACKAGE = "larkweir"  # of versions before the renaming


def package_of(checkout: Path) -> str:
    """The package that `python -m` starts in this checkout."""
    return PACKAGE if (checkout / PACKAGE).is_dir() else FORMER_PACKAGE
