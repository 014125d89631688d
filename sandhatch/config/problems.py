"""Problems in the form shown to users: translated from pydantic's errors, sorted by line, limited in number.

Nothing is checked here. Long values are shortened, and mappings and lists are not shown. Source: the error
types of pydantic.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from pydantic import ValidationError
from pydantic_core import ErrorDetails

from sandhatch.config.document import Document, KeyPath
from sandhatch.config.errors import Problem

MAX_PROBLEMS = 200  # problems shown to the user; further problems are only counted
MAX_VALUE_CHARACTERS = 60

# Expected values by pydantic's error type. Names in braces are keys of the error's context.
EXPECTATIONS = {
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
    """Yield a problem for each validation error that pydantic found in the document."""
    for error in failure.errors(include_url=False, include_input=False):
        path = tuple(part for part in error["loc"] if part != "[key]")
        is_key_error = error["loc"][-1:] == ("[key]",)
        value = path[-1] if is_key_error else _value_at(document.data, path)
        yield document.problem(path, _message(error, value))


def sorted_problems(problems: Iterable[Problem], document: Document) -> list[Problem]:
    """Return at most MAX_PROBLEMS problems, sorted by line, and the number of further ones."""
    by_line = sorted(problems, key=lambda problem: problem.line)
    if len(by_line) > MAX_PROBLEMS:
        summary = document.problem((), f"{len(by_line) - MAX_PROBLEMS} more problems are not shown")
        del by_line[MAX_PROBLEMS:]
        by_line.append(summary)
    return by_line


class _Missing:
    """Marks a value that does not exist."""


_MISSING: Any = _Missing()


def _value_at(data: Any, path: KeyPath) -> Any:
    """Return the value at a path; `_MISSING` if the path does not exist."""
    for part in path:
        try:
            data = data[part]
        except (KeyError, IndexError, TypeError):
            return _MISSING
    return data


def format_value(value: Any) -> str:
    """Return a short text for a value; for a mapping or a list, only its kind."""
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
            return str(context["error"])  # the text names the keys and values itself
        case "value_error":
            expectation = str(context["error"])
        case kind if kind in EXPECTATIONS:
            expectation = f"expected {EXPECTATIONS[kind].format(**context)}"
        case _:
            expectation = error["msg"].replace("Input should be", "expected")
    return f"{expectation}, got {format_value(value)}"
