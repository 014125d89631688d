"""One call on the control socket: its typed arguments and its author. No I/O.

The names of arguments are part of the control protocol.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeVar

from sandhatch.config.errors import RejectedError, RejectionReason

MAX_DURATION_MS = 86_400_000.0  # a day

EXPECTED: dict[type, str] = {str: "a text", bool: "true or false", int: "a whole number", float: "a number"}

T = TypeVar("T", str, int, bool)


@dataclass(frozen=True, slots=True)
class Call:
    """A call as it was received. Its methods raise `RejectedError` where an argument has no such value.

    Attributes:
        author: Name of the user who makes the call.
        arguments: Its JSON object without "op".
    """

    author: str
    arguments: dict[str, Any]

    def reject_unknown_arguments(self, known: frozenset[str]) -> None:
        """Check that there are no arguments but these.

        Raises:
            RejectedError: There is another one.
        """
        unknown = sorted(self.arguments.keys() - known)
        if unknown:
            raise RejectedError(
                RejectionReason.INVALID,
                f"{unknown[0]}: unknown argument; there are: {', '.join(sorted(known)) or 'none'}",
            )

    def text(self, key: str, default: str | None = None) -> str:
        """A string; it must be there unless there is a default."""
        return self._of_type(key, str, default)

    def flag(self, key: str, default: bool) -> bool:
        """A boolean."""
        return self._of_type(key, bool, default)

    def integer(self, key: str, default: int | None = None) -> int:
        """A number; it must be there unless there is a default."""
        return self._of_type(key, int, default)

    def optional_integer(self, key: str) -> int | None:
        """A number; None if it is missing or null."""
        return None if self.arguments.get(key) is None else self._of_type(key, int)

    def duration_ms(self, key: str) -> float:
        """A time in milliseconds, of up to a day, that must be there."""
        value = self._value(key)
        if isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        if not isinstance(value, float):
            raise _wrong_type(key, value, float)
        if not 0.0 < value <= MAX_DURATION_MS:
            raise RejectedError(
                RejectionReason.INVALID,
                f"{key}: expected milliseconds above 0 and at most {MAX_DURATION_MS:.0f}, got {value:g}",
            )
        return value

    def optional_duration_ms(self, key: str) -> float | None:
        """As `duration_ms`; None if it is missing or null."""
        return None if self.arguments.get(key) is None else self.duration_ms(key)

    def _value(self, key: str, default: object = None) -> Any:
        if key in self.arguments:
            return self.arguments[key]
        if default is None:
            raise RejectedError(RejectionReason.INVALID, f"{key}: required argument is missing")
        return default

    def _of_type(self, key: str, kind: type[T], default: T | None = None) -> T:
        value = self._value(key, default)
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise _wrong_type(key, value, kind)
        return value


def _wrong_type(key: str, value: Any, kind: type) -> RejectedError:
    return RejectedError(RejectionReason.INVALID, f"{key}: expected {EXPECTED[kind]}, got {value!r:.60}")
