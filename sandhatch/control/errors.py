"""Errors of the control socket, of its server and of its clients."""

from __future__ import annotations

from enum import Enum


class FaultReason(Enum):
    """Why a call was not carried out, where no configuration is in question.

    The values are part of the control protocol (`why` in an answer).
    """

    INVALID = "invalid"  # it is not a call, or has no such operation or argument
    UNKNOWN = "unknown"  # what it names is not there
    BUSY = "busy"  # too many peers are connected
    INTERNAL = "internal"  # an error of the program


class CallError(ValueError):
    """The received bytes are not a call; nothing more is read from such a peer."""


class ControlError(Exception):
    """The control socket can't be opened; the message names its path and the cause."""


class UnreachableError(Exception):
    """There is no service at the path, or it does not answer; the message names the path and the cause."""
