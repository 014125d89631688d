"""The representation of a version in the control protocol. No I/O."""

from __future__ import annotations

from typing import Any

from sandhatch.config.version import State, Version


def version_row(version: Version, now_ms: float) -> dict[str, Any]:
    """Return the version's state for a response; the keys are set by the control protocol.

    An active version's state has the milliseconds left until the version is rolled back unless it is
    confirmed, and the milliseconds left until its goodput comparison ends.
    """
    row: dict[str, Any] = {
        "version": version.number,
        "base": version.base,
        "state": version.state.value,
        "author": version.author,
        "comment": version.comment,
        "changes": version.changes,
        "why": version.why,
    }
    if version.state is State.ACTIVE:
        if version.confirm_by_ms is not None:
            row["confirm_in_ms"] = max(0, round(version.confirm_by_ms - now_ms))
        if version.watch_until_ms is not None:
            row["watch_ends_in_ms"] = max(0, round(version.watch_until_ms - now_ms))
    return row
