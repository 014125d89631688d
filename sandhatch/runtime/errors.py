"""Errors of values that come from outside."""

from __future__ import annotations


class ConfigError(ValueError):
    """A value is missing or invalid; the message is one line that names the key and the value."""
