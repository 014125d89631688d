"""Exceptions of a running service that its callers handle."""

from __future__ import annotations


class StageError(Exception):
    """A version can't be staged (prepared to become active); the message names the key and the cause."""
