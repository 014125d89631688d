"""Checks configurations that reach a running service. No I/O; the rules are those of `config.check`."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from sandhatch.config.check import CheckedConfiguration, check, check_text
from sandhatch.config.document import Document
from sandhatch.config.errors import CheckError, RejectedError, RejectionReason


def check_data(data: dict[str, Any]) -> CheckedConfiguration:
    """Check data that did not come from a file.

    Raises:
        CheckError: The data has errors.
    """
    return check(Document("configuration", data))


@contextmanager
def reject_invalid() -> Iterator[None]:
    """Turn a `CheckError` into a `RejectedError` of the call, with every problem."""
    try:
        yield
    except CheckError as failure:
        errors = [str(problem) for problem in failure.problems]
        raise RejectedError(RejectionReason.INVALID, f"{len(errors)} problems", problems=errors) from None


def checked_text(text: bytes) -> CheckedConfiguration:
    """Check text in full.

    Raises:
        RejectedError: The text has errors.
    """
    with reject_invalid():
        return check_text(text)
