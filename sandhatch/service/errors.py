"""Exceptions of a running service that its callers handle."""

from __future__ import annotations


class StageError(Exception):
    """A version can't be staged; the message names the configuration key and the cause."""
