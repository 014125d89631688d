"""Errors of the planning link: keys, messages, sessions and reports.

Each message says which file, name or value is wrong. Nothing here does I/O.
"""

from __future__ import annotations


class BadKeyError(ValueError):
    """A key cannot be used; the message names the file or the peer, and the reason."""


class BadMessageError(ValueError):
    """A payload is not a message of this protocol; the message says what is wrong with it."""


class InvalidReportError(ValueError):
    """A report contradicts its session or its pool; the session that sent it should end."""


class SessionError(Exception):
    """The peer is not authenticated or violated the protocol; the session cannot be used any more."""


class EpochOverError(SessionError):
    """A forwarder has seen a later epoch of this planner: this process started with an earlier time.

    Attributes:
        known_epoch: The highest epoch of this planner that the forwarder has seen.
    """

    def __init__(self, known_epoch: int) -> None:
        """Record the epoch that the forwarder reported."""
        super().__init__(f"a forwarder knows of epoch {known_epoch}")
        self.known_epoch = known_epoch
