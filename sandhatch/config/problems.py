"""Problems put into the form in which users see them: pydantic's errors translated, sorted by line, bounded.

Never checks anything itself. A value is shown in short, and mappings and lists are not shown at all. Source:
the error types of pydantic.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from pydantic import ValidationError
from pydantic_core import ErrorDetails

from sandhatch.config.document import Document, KeyPath
from sandhatch.config.errors import Problem

MAX_PROBLEMS = 200  # reported; the rest are counted
MAX_VALUE_CHARACTERS = 60

# What would be right, by pydantic's type of error. Names in braces are those of the error's context.
EXPECTED = {
    "string_type": "a text",
    "string_pattern_mismatch": "a text that matches {pattern}",
    "string_too_short": "at least {min_length} characters",
    "string_too_long": "at most {max_length} characters",
    "int_type": "a whole number",
    "float_type": "a number",
    "bool_type": "true or false",
    "literal_error": "{expected}",
    "greater_than": "a number greater than {gt:g}",
    "greater_than_equal": "a number of at least {ge:g}",
    "less_than": "a number less than {lt:g}",
    "less_than_equal": "a number of at most {le:g}",
    "list_type": "a list",
    "dict_type": "a mapping",
    "model_type": "a mapping",
    "model_attributes_type": "a mapping",
}


def model_problems(document: Document, failure: ValidationError) -> Iterator[Problem]:
    """Yield a problem for each error that pydantic has found in the document."""
    for error in failure.errors(include_url=False, include_input=False):
        path = tuple(part for part in error["loc"] if part != "[key]")
        concerns_key = error["loc"][-1:] == ("[key]",)
        value = path[-1] if concerns_key else _value_of(document.data, path)
        yield document.problem(path, _message(error, value))


def sorted_problems(problems: Iterable[Problem], document: Document) -> list[Problem]:
    """Return the problems by line, MAX_PROBLEMS at most, and how many more there are."""
    in_order = sorted(problems, key=lambda problem: problem.line)
    if len(in_order) > MAX_PROBLEMS:
        more = document.problem((), f"{len(in_order) - MAX_PROBLEMS} more problems are not shown")
        del in_order[MAX_PROBLEMS:]
        in_order.append(more)
    return in_order


class _Missing:
    """Stands for a value that is not there."""


_MISSING: Any = _Missing()


def _value_of(data: Any, path: KeyPath) -> Any:
    """Return the value of a key; `_MISSING` where the path does not lead to one."""
    for part in path:
        try:
            data = data[part]
        except (KeyError, IndexError, TypeError):
            return _MISSING
    return data


def format_value(value: Any) -> str:
    """Return a value in short; only the kind of a mapping or a list."""
    if value is None:
        return "null"
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list):
        return "a list"
    text = repr(value)
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[: MAX_VALUE_CHARACTERS - 3] + "..."


def _message(error: ErrorDetails, value: Any) -> str:
    context = error.get("ctx", {})
    match error["type"]:
        case "missing":
            return "required key is missing"
        case "extra_forbidden":
            return f"unknown key with {format_value(value)} as its value"
        case "too_short":
            return f"expected at least {context['min_length']} items, got {context['actual_length']}"
        case "too_long":
            return f"expected at most {context['max_length']} items, got {len(value)}"
        case "value_error" if isinstance(value, dict):
            return str(context["error"])  # names the keys and the values that it is about
        case "value_error":
            expectation = str(context["error"])
        case kind if kind in EXPECTED:
            expectation = f"expected {EXPECTED[kind].format(**context)}"
        case _:
            expectation = error["msg"].replace("Input should be", "expected")
    return f"{expectation}, got {format_value(value)}"
