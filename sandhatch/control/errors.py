"""Exceptions of the control socket's server and clients, and reasons of failed calls."""

from __future__ import annotations

from enum import Enum


class FaultReason(Enum):
    """Why a call failed for reasons other than the configuration.

    The values are part of the control protocol (`why` in a response).
    """

    INVALID = "invalid"  # malformed call, or unknown operation or argument
    UNKNOWN = "unknown"  # the call names an object that does not exist
    BUSY = "busy"  # too many peers are connected
    INTERNAL = "internal"  # unexpected error in the service


class CallError(ValueError):
    """The received bytes are not a call; nothing more is read from the peer that sent them."""


class ControlError(Exception):
    """The control socket can't be opened; the message names its path and the cause."""


class UnreachableError(Exception):
    """No service responds at the path; the message names the path and the cause."""
