"""Errors of a running service that callers handle."""

from __future__ import annotations


class StageError(Exception):
    """A version can't be prepared; the message names the configuration key and the cause."""
