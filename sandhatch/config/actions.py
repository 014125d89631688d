"""What the lifecycle of versions asks its owner to do.

The owner carries the actions out in their order and reports how they ended. Each action is a small frozen
dataclass; none of them does anything by itself. The owner is `sandhatch.service`.
"""

from __future__ import annotations

from dataclasses import dataclass

from sandhatch.config.version import Version


@dataclass(slots=True, frozen=True)
class Stage:
    """Build what the version needs beside what runs; report `staged` or `failed`."""

    version: Version


@dataclass(slots=True, frozen=True)
class DiscardStaged:
    """Release what was built for a version that will not become active."""

    version: Version


@dataclass(slots=True, frozen=True)
class Save:
    """Write to disk what `VersionLifecycle.record` returns now.

    Report `saved` or `save_failed` with `step`.
    """

    step: int
    version: Version | None


@dataclass(slots=True, frozen=True)
class Apply:
    """Assign every new request to this version from now on. `back`: a rollback to an earlier version."""

    version: Version
    back: bool = False


@dataclass(slots=True, frozen=True)
class Retire:
    """Release the version once its last request has ended: no new request and no rollback needs it."""

    version: Version


@dataclass(slots=True, frozen=True)
class Watch:
    """Compare the goodput from now on with that before; report `fell` if it falls."""

    version: Version


@dataclass(slots=True, frozen=True)
class EndWatch:
    """End the comparison: the version is confirmed or rolled back."""

    version: Version


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Write one line to the log."""

    text: str


Action = Stage | DiscardStaged | Save | Apply | Retire | Watch | EndWatch | LogMessage
