"""Types of single configuration values: names, addresses, patterns, paths and times.

The module also holds the base class of all models. Each type checks its value independently of other keys,
and its error names the expected value.
"""

from __future__ import annotations

from typing import Annotated

import re2
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, StringConstraints

from sandhatch.runtime.address import parse_address

MAX_PATTERN_CHARACTERS = 1024
MAX_PATTERN_MEMORY_BYTES = 1 << 20
MAX_PATH_CHARACTERS = 4096


class Model(BaseModel):
    """Base of all models: rejects unknown keys, converts no types, and is immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True, hide_input_in_errors=True)


def require_exactly_one(model: Model, *keys: str) -> None:
    """Check that exactly one of the keys is given; the ValueError names those that are."""
    given = [key for key in keys if getattr(model, key) is not None]
    if len(given) != 1:
        *others, last = keys
        raise ValueError(
            f"expected exactly one of {', '.join(others)} and {last}, got {' and '.join(given) or 'none'}"
        )


def _check_address(text: str) -> str:
    parse_address(text)
    return text


def _check_pattern(text: str) -> str:
    # RE2 matches in linear time, so no pattern can block the process, which runs on a single core.
    options = re2.Options()
    options.log_errors = False
    options.max_mem = MAX_PATTERN_MEMORY_BYTES
    try:
        re2.compile(text, options)
    except re2.error as problem:
        reason = problem.args[0] if problem.args else ""
        reason = reason.decode("utf-8", "replace") if isinstance(reason, bytes) else str(reason)
        raise ValueError(f"expected a regular expression that RE2 accepts ({reason})") from None
    return text


def _check_path(text: str) -> str:
    if not text.startswith("/"):
        raise ValueError("expected a path that starts with /")
    if "?" in text or "#" in text:
        raise ValueError("expected a path without ? and #, since paths are matched without their query")
    return text


NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$"
Name = Annotated[str, StringConstraints(pattern=NAME_PATTERN)]
Milliseconds = Annotated[float, Field(gt=0, le=3_600_000)]
HeaderName = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,128}$")]
AddressText = Annotated[str, AfterValidator(_check_address)]
Pattern = Annotated[str, StringConstraints(max_length=MAX_PATTERN_CHARACTERS), AfterValidator(_check_pattern)]
# A key of 32 bytes, in hexadecimal digits.
KeyText = Annotated[str, StringConstraints(pattern=r"^[0-9a-fA-F]{64}$")]
PathText = Annotated[str, StringConstraints(max_length=MAX_PATH_CHARACTERS), AfterValidator(_check_path)]
