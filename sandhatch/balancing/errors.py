"""The errors that the balancing package raises. Each message names what is wrong.

A failed request is never an error here: it is an `Outcome` that comes in and an action that goes out.
"""

from __future__ import annotations


class SettingsError(ValueError):
    """A setting is missing or makes no sense; the message names its key and value."""


class ContractError(RuntimeError):
    """The caller broke the contract of events: an id used twice, time going backwards, an unknown event."""
