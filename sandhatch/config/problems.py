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

MOST_PROBLEMS = 200  # reported; the rest are counted
MOST_VALUE_CHARACTERS = 60

# What is said of a value, by pydantic's type of error.
MESSAGES = {
    "missing": "this key is wanted",
    "extra_forbidden": "no such key here",
    "string_type": "a text is wanted",
    "int_type": "a whole number is wanted",
    "float_type": "a number is wanted",
    "bool_type": "true or false is wanted",
    "list_type": "a list is wanted",
    "dict_type": "a mapping is wanted",
    "model_type": "a mapping is wanted",
    "model_attributes_type": "a mapping is wanted",
}


def model_problems(document: Document, failure: ValidationError) -> Iterator[Problem]:
    """Yield a problem for each error that pydantic has found in the document."""
    for error in failure.errors(include_url=False, include_input=False):
        path = tuple(part for part in error["loc"] if part != "[key]")
        value = _value_of(document.data, path)
        shown = "" if value is None or isinstance(value, dict | list) else f"{_shown(value)}: "
        yield document.problem(path, shown + _message(error))


def sorted_problems(problems: Iterable[Problem], document: Document) -> list[Problem]:
    """Return the problems by line, MOST_PROBLEMS at most, and how many more there are."""
    in_order = sorted(problems, key=lambda problem: problem.line)
    if len(in_order) > MOST_PROBLEMS:
        more = document.problem((), f"{len(in_order) - MOST_PROBLEMS} more problems are not shown")
        del in_order[MOST_PROBLEMS:]
        in_order.append(more)
    return in_order


def _value_of(data: Any, path: KeyPath) -> Any:
    """Return the value of a key; None where the path does not lead to one."""
    for part in path:
        try:
            data = data[part]
        except (KeyError, IndexError, TypeError):
            return None
    return data


def _shown(value: Any) -> str:
    text = repr(value)
    if len(text) <= MOST_VALUE_CHARACTERS:
        return text
    return text[: MOST_VALUE_CHARACTERS - 3] + "..."


def _message(error: ErrorDetails) -> str:
    context = error.get("ctx", {})
    match error["type"]:
        case kind if kind in MESSAGES:
            return MESSAGES[kind]
        case "value_error":
            return str(context["error"])
        case "literal_error":
            return f"one of {context['expected']} is wanted"
        case "string_pattern_mismatch":
            return f"a text like {context['pattern']} is wanted"
        case _:
            return (
                error["msg"].replace("Input should be", "it should be").replace("Dictionary", "the mapping")
            )
