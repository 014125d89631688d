"""Exceptions of the control socket's server and clients, and reasons of failed calls."""

from __future__ import annotations

from enum import Enum


class FaultReason(Enum):
    """Why a call failed for reasons other than the configuration.

    The values are part of the control protocol (`why` in a response).
    """

    INVALID = "invalid"  # malformed or too long call, buffer limit exceeded, unknown operation or argument
    UNKNOWN = "unknown"  # the call names an object that does not exist
    BUSY = "busy"  # too many peers are connected
    INTERNAL = "internal"  # unexpected error in the service


class CallError(ValueError):
    """The received bytes can't be used as a call or a response, and nothing more is read from their sender.

    Raised in the server for a line that is too long or not a JSON object, and if the incomplete calls of all
    peers together exceed the buffer limit; in the client, for a response that is too long or not a JSON
    object.
    """


class ControlError(Exception):
    """The control socket can't be opened; the message names its path and the cause."""


class UnreachableError(Exception):
    """No process responds at the path, or the response is unusable; the message names path and cause."""
