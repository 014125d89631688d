"""A call on the control socket, with typed access to its arguments. No I/O.

The names of arguments are part of the control protocol.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeVar

from sandhatch.config.errors import RejectedError, RejectionReason

MAX_DURATION_MS = 86_400_000.0  # one day

EXPECTED: dict[type, str] = {str: "a string", bool: "true or false", int: "an integer", float: "a number"}

T = TypeVar("T", str, int, bool)


@dataclass(frozen=True, slots=True)
class Call:
    """A received call. Its methods raise `RejectedError` if an argument is missing or of the wrong type.

    Attributes:
        author: Name of the user who makes the call.
        arguments: JSON object of the call, without "op".
    """

    author: str
    arguments: dict[str, Any]

    def reject_unknown_arguments(self, known: frozenset[str]) -> None:
        """Check that the call has no arguments other than the known ones.

        Raises:
            RejectedError: The call has an unknown argument.
        """
        unknown = sorted(self.arguments.keys() - known)
        if unknown:
            raise RejectedError(
                RejectionReason.INVALID,
                f"{unknown[0]}: unknown argument; known arguments: {', '.join(sorted(known)) or 'none'}",
            )

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string argument, which is required unless there is a default."""
        return self._of_type(key, str, default)

    def flag(self, key: str, default: bool) -> bool:
        """Return a boolean argument."""
        return self._of_type(key, bool, default)

    def integer(self, key: str, default: int | None = None) -> int:
        """Return an integer argument, which is required unless there is a default."""
        return self._of_type(key, int, default)

    def optional_integer(self, key: str) -> int | None:
        """Return an integer argument; None if it is missing or null."""
        return None if self.arguments.get(key) is None else self._of_type(key, int)

    def duration_ms(self, key: str) -> float:
        """Return a required duration in milliseconds, above 0 and at most one day."""
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
        """Return a duration as `duration_ms` does; None if the argument is missing or null."""
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
