"""Errors of calls to discovery.

Retries are not decided here. Source: PROTOCOL-sandhatch.md, "Discovery".
"""

from __future__ import annotations

from typing import Any


class DiscoveryError(Exception):
    """A call to discovery failed, or its response is unusable."""


class MalformedListError(DiscoveryError):
    """An endpoint list has an invalid value.

    Attributes:
        key: Key of the invalid value.
        value: The invalid value.
    """

    def __init__(self, key: str, value: Any, problem: str) -> None:
        """Create an error whose message consists of the key, the value and the problem.

        Args:
            key: Key of the invalid value.
            value: The invalid value.
            problem: Predicate that follows the value in the message, such as "is not a string".
        """
        super().__init__(f"{key}: {value!r:.100} {problem}")
        self.key = key
        self.value = value
