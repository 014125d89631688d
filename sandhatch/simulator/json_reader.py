"""Typed access to the values of a JSON object, with errors that name the key's path and the value.

A key that is absent or null has its default. Keys that nobody reads are ignored.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

from sandhatch.balancing.errors import SettingsError

Choice = TypeVar("Choice")

REQUIRED: Any = object()  # in place of a default: the key must be there


class ObjectReader:
    """Reads the values of one JSON object."""

    def __init__(self, data: Any, path: str) -> None:
        """Read from parsed JSON.

        Args:
            data: What was parsed.
            path: Where it stood in the document, with a dot at its end; empty for the document itself.

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
        self, key: str, default: float = REQUIRED, least: float = 0.0, most: float = math.inf
    ) -> float:
        """A finite number between bounds."""
        value = self._value(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < math.inf:
            raise SettingsError(f"{self._path}{key}: {value!r} is not a finite number of at least {least:g}")
        if value > most:
            raise SettingsError(
                f"{self._path}{key}: {value!r} is not a number between {least:g} and {most:g}"
            )
        return float(value)

    def integer(self, key: str, default: int = REQUIRED, least: int = 0) -> int:
        """A whole number with a lower bound."""
        value = self.number(key, default, least)
        if value != int(value):
            raise SettingsError(f"{self._path}{key}: {value!r} is not a whole number")
        return int(value)

    def boolean(self, key: str, default: bool) -> bool:
        """Either true or false."""
        value = self._value(key, default)
        if not isinstance(value, bool):
            raise SettingsError(f"{self._path}{key}: {value!r} is neither true nor false")
        return value

    def choice(self, key: str, choices: Mapping[str, Choice], default: str = REQUIRED) -> Choice:
        """What one of several words stands for."""
        value = self._value(key, default)
        if not isinstance(value, str) or value not in choices:
            raise SettingsError(f"{self._path}{key}: {value!r} is not one of {', '.join(choices)}")
        return choices[value]

    def text(self, key: str) -> str:
        """A label, taken as it is; empty if absent."""
        return str(self._data.get(key, ""))

    def array(self, key: str, default: list[Any] = REQUIRED) -> list[Any]:
        """An array, whose elements are not checked."""
        value = self._value(key, default)
        if not isinstance(value, list):
            raise SettingsError(f"{self._path}{key}: {value!r} is not a list")
        return value

    def objects(self, key: str, default: list[Any] = REQUIRED) -> Iterator[ObjectReader]:
        """Readers of an array's elements, each of which is checked to be an object when its turn comes."""
        for index, element in enumerate(self.array(key, default)):
            yield ObjectReader(element, f"{self._path}{key}[{index}].")

    def section(self, key: str) -> ObjectReader:
        """A reader of an object within this one; empty if absent."""
        return ObjectReader(self._value(key, {}), f"{self._path}{key}.")
