"""The errors of the simulator's wire: frames that don't follow its page (`WIRE-sandhatch.md`).

Settings that make no sense are no such errors: they raise `sandhatch.balancing.errors.SettingsError`.
"""

from __future__ import annotations


class WireError(ValueError):
    """A frame doesn't follow the wire page; the message names what is wrong."""


class TruncatedFrameError(WireError):
    """A frame, or the input, ends too early."""


class TrailingBytesError(WireError):
    """A frame has bytes after its last record."""

    def __init__(self, count: int) -> None:
        """Name how many bytes are left."""
        super().__init__(f"{count} bytes left over after the last record")


class UnknownCodeError(WireError):
    """A field has a value that the wire page doesn't list."""


class UnknownListError(WireError):
    """An update names a list that no catalog has defined."""

    def __init__(self, list_number: int) -> None:
        """Name the list."""
        super().__init__(f"update names list {list_number}, which no catalog has set up")


class UnknownInstanceError(WireError):
    """An event is for an instance that has not started."""

    def __init__(self, instance: int) -> None:
        """Name the instance."""
        super().__init__(f"event for instance {instance}, which has not started")
