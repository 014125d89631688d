"""Checks configurations sent to a running service, by the rules of `config.check`. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from sandhatch.config.check import CheckedConfiguration, check, check_text
from sandhatch.config.document import Document
from sandhatch.config.errors import CheckError, RejectedError, RejectionReason


def check_data(data: dict[str, Any]) -> CheckedConfiguration:
    """Check a configuration that was not read from a file.

    Raises:
        CheckError: The configuration has errors.
    """
    return check(Document("configuration", data))


@contextmanager
def reject_invalid() -> Iterator[None]:
    """Convert a `CheckError` into a `RejectedError` that lists every problem."""
    try:
        yield
    except CheckError as failure:
        errors = [str(problem) for problem in failure.problems]
        raise RejectedError(
            RejectionReason.INVALID, f"the configuration has {len(errors)} problems", problems=errors
        ) from None


def check_proposed_text(text: bytes) -> CheckedConfiguration:
    """Check a configuration's text in full.

    Raises:
        RejectedError: The text has errors.
    """
    with reject_invalid():
        return check_text(text)
