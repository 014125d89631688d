"""Errors of the simulator's wire protocol: frames that violate `WIRE-sandhatch.md`.

Invalid settings within a valid frame raise `sandhatch.balancing.errors.SettingsError` instead.
"""

from __future__ import annotations


class WireError(ValueError):
    """A frame violates the wire protocol; the message describes the violation."""


class TruncatedFrameError(WireError):
    """A frame or the input is truncated."""


class TrailingBytesError(WireError):
    """A frame has bytes after its last record."""

    def __init__(self, count: int) -> None:
        """Create the error for a frame with `count` trailing bytes."""
        super().__init__(f"trailing bytes after the last record: {count}")


class UnknownCodeError(WireError):
    """A field has a code that the wire protocol does not define."""


class UnknownListError(WireError):
    """A list update refers to a list that no catalog record has defined."""

    def __init__(self, list_number: int) -> None:
        """Create the error for this list number."""
        super().__init__(f"update refers to list {list_number}, which no catalog has defined")


class UnknownInstanceError(WireError):
    """An event is addressed to an instance that has not started."""

    def __init__(self, instance: int) -> None:
        """Create the error for this instance."""
        super().__init__(f"event for instance {instance}, which has not started")
