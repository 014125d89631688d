"""What can go wrong with a call to discovery.

No retry is decided here. Source: PROTOCOL-sandhatch.md, "Discovery".
"""

from __future__ import annotations

from typing import Any


class DiscoveryError(Exception):
    """A call to discovery failed, or its answer is unusable."""


class MalformedListError(DiscoveryError):
    """An endpoint list has a value that it may not have.

    Attributes:
        key: the key of the value.
        value: the value.
    """

    def __init__(self, key: str, value: Any, problem: str) -> None:
        """Create an error whose message names the key, the value and what would be right.

        Args:
            key: the key of the value.
            value: the value.
            problem: says what is wrong with it, after its text: "is not a string".
        """
        super().__init__(f"{key}: {value!r:.100} {problem}")
        self.key = key
        self.value = value
