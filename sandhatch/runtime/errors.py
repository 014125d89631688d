"""Errors in values from outside the process: a settings file, an environment variable, a message.

Plain exceptions that log nothing. Errors raised by a single package are in that package's own `errors`.
"""

from __future__ import annotations


class ConfigError(ValueError):
    """A value is missing or invalid; the message is one line that names the key and the value."""
