"""Actions that the version lifecycle returns to its owner, `sandhatch.service`.

The owner carries the actions out in order and reports their results. Each action is a frozen dataclass
without behaviour.
"""

from __future__ import annotations

from dataclasses import dataclass

from sandhatch.config.version import Version


@dataclass(slots=True, frozen=True)
class Stage:
    """Build what the version needs alongside the active version; report `staged` or `staging_failed`."""

    version: Version


@dataclass(slots=True, frozen=True)
class DiscardStaged:
    """Release what was built for a version that will not become active."""

    version: Version


@dataclass(slots=True, frozen=True)
class Save:
    """Write the current result of `VersionLifecycle.record` to disk.

    Report `saved` or `save_failed` with `save_number`.
    """

    save_number: int
    version: Version | None


@dataclass(slots=True, frozen=True)
class Apply:
    """Assign every new request to this version from now on; `is_rollback` is set for a rollback."""

    version: Version
    is_rollback: bool = False


@dataclass(slots=True, frozen=True)
class Retire:
    """Release the version after its last request: no new request and no rollback needs it."""

    version: Version


@dataclass(slots=True, frozen=True)
class Watch:
    """Compare the goodput since the version's activation with that before; report a drop."""

    version: Version


@dataclass(slots=True, frozen=True)
class EndWatch:
    """End the goodput comparison: the version is being confirmed or rolled back."""

    version: Version


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Write one line to the log."""

    text: str


Action = Stage | DiscardStaged | Save | Apply | Retire | Watch | EndWatch | LogMessage
