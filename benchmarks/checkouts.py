"""Other checkouts of the project that benchmarks compare with this one.

The checkouts are only read. Older ones have the package under the name it had before the project was renamed.
"""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).parent.parent  # root directory of this checkout
PACKAGE = "sandhatch"
FORMER_PACKAGE = "larkweir"  # package name before the project was renamed


def package_of(checkout: Path) -> str:
    """Returns the name of the package that `python -m` starts in a checkout."""
    return PACKAGE if (checkout / PACKAGE).is_dir() else FORMER_PACKAGE
