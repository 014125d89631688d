"""Errors raised by the balancing package. Each message names the invalid value or event.

A failed request never raises: it is reported by an `Outcome` in an event and handled by an action.
"""

from __future__ import annotations


class SettingsError(ValueError):
    """A setting is missing or invalid; the message names its key and value."""


class ContractError(RuntimeError):
    """The caller violated the contract of events: a reused id, time going backwards, an unknown event."""
