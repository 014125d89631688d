"""Errors of the control socket, of its server and of its clients."""

from __future__ import annotations


class CallError(ValueError):
    """The received bytes are not a call; nothing more is read from such a peer."""


class ControlError(Exception):
    """The control socket can't be opened; the message names its path and the cause."""


class UnreachableError(Exception):
    """There is no service at the path, or it does not answer; the message names the path and the cause."""
