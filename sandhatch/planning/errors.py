"""Errors of the planning link: keys, messages, sessions and reports.

Each message names the file, name or value that is wrong. No I/O.
"""

from __future__ import annotations


class BadKeyError(ValueError):
    """A key cannot be used; the message gives the file or the peer, and the reason."""


class BadMessageError(ValueError):
    """A payload is not a message of this protocol; the error's text gives the reason."""


class InvalidReportError(ValueError):
    """A report contradicts its session or its pool; the session that sent it should end."""


class SessionError(Exception):
    """The peer is not authenticated or violated the protocol; the session is unusable from then on."""


class SupersededEpochError(SessionError):
    """A forwarder has seen a higher epoch of this planner, whose system time was set back before its start.

    Attributes:
        known_epoch: The highest epoch of this planner that the forwarder has seen.
    """

    def __init__(self, known_epoch: int) -> None:
        """Store the epoch that the forwarder reported."""
        super().__init__(f"a forwarder has seen the higher epoch {known_epoch}")
        self.known_epoch = known_epoch
