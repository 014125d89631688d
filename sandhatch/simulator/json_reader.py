"""Typed access to the values of a JSON object, with errors that name the key's path and the value.

A key that is absent or null has its default. Keys that are not read are ignored.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

from sandhatch.balancing.errors import SettingsError

Choice = TypeVar("Choice")

REQUIRED: Any = object()  # passed as a default, marks a key that must be present


def _finite_number(value: Any) -> float | None:
    """Convert a JSON value to a number; None if it is no number, or not a finite one."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    try:
        number = float(value)
    except OverflowError:  # an integer beyond the largest float
        return None
    return number if math.isfinite(number) else None


class ObjectReader:
    """Reader of the values of one JSON object."""

    def __init__(self, data: Any, path: str) -> None:
        """Read from parsed JSON.

        Args:
            data: The parsed JSON value.
            path: Path of the value in the document, with a trailing dot; empty for the document itself.

        Raises:
            SettingsError: The data is not an object.
        """
        if not isinstance(data, dict):
            raise SettingsError(f"{path or 'settings'}: {data!r} is not an object")
        self._data = data
        self._path = path

    def _value(self, key: str, default: Any) -> Any:
        value = self._data.get(key)
        if value is not None:
            return value
        if default is REQUIRED:
            raise SettingsError(f"{self._path}{key}: missing")
        return default

    def number(
        self, key: str, default: float = REQUIRED, minimum: float = 0.0, maximum: float = math.inf
    ) -> float:
        """Read a finite number between bounds."""
        value = self._value(key, default)
        number = _finite_number(value)
        if number is None or number < minimum:
            raise SettingsError(
                f"{self._path}{key}: {value!r:.80} is not a finite number of at least {minimum:g}"
            )
        if number > maximum:
            raise SettingsError(
                f"{self._path}{key}: {value!r} is not a number between {minimum:g} and {maximum:g}"
            )
        return number

    def integer(self, key: str, default: int = REQUIRED, minimum: int = 0) -> int:
        """Read an integer with a lower bound."""
        value = self.number(key, default, minimum)
        if value != int(value):
            raise SettingsError(f"{self._path}{key}: {value!r} is not a whole number")
        return int(value)

    def boolean(self, key: str, default: bool) -> bool:
        """Read the Boolean value of a key, or return the default."""
        value = self._value(key, default)
        if not isinstance(value, bool):
            raise SettingsError(f"{self._path}{key}: {value!r} is neither true nor false")
        return value

    def choice(self, key: str, choices: Mapping[str, Choice], default: str = REQUIRED) -> Choice:
        """Read one of several strings, and return the value that it maps to."""
        value = self._value(key, default)
        if not isinstance(value, str) or value not in choices:
            raise SettingsError(f"{self._path}{key}: {value!r} is not one of {', '.join(choices)}")
        return choices[value]

    def label(self, key: str) -> str:
        """Read a label, converted to a string without checks; empty if absent."""
        return str(self._value(key, ""))

    def array(self, key: str, default: list[Any] = REQUIRED) -> list[Any]:
        """Read an array without checking its elements."""
        value = self._value(key, default)
        if not isinstance(value, list):
            raise SettingsError(f"{self._path}{key}: {value!r} is not a list")
        return value

    def objects(self, key: str, default: list[Any] = REQUIRED) -> Iterator[ObjectReader]:
        """Yield a reader for each element of an array; each is checked to be an object when it is yielded."""
        for index, element in enumerate(self.array(key, default)):
            yield ObjectReader(element, f"{self._path}{key}[{index}].")

    def section(self, key: str) -> ObjectReader:
        """Return a reader of a nested object; an absent object is read as an empty one."""
        return ObjectReader(self._value(key, {}), f"{self._path}{key}.")
