"""Complete check of a document: reports all errors at once, with file, line, key, value and expectation.

A document that passes becomes a `CheckedConfiguration`, which holds the model and the compiled route table;
only such a configuration may be staged. The check does no I/O, except that `check_file` reads its file.
Source: docs/operators/configuration.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

from sandhatch.config.document import Document, parse, read
from sandhatch.config.errors import CheckError, Problem
from sandhatch.config.model import Configuration
from sandhatch.config.problems import format_value, model_problems, sorted_problems
from sandhatch.config.references import ReferenceCheck
from sandhatch.config.route_compilation import compile_route, compile_target
from sandhatch.routing.coverage import find_unreachable
from sandhatch.routing.table import RouteTable


@dataclass(slots=True, frozen=True)
class CheckedConfiguration:
    """A configuration that may be staged.

    Attributes:
        data: The document as written.
        model: The configuration with every default filled in.
        table: The compiled routes.
        warnings: Settings that are allowed but probably a mistake.
    """

    data: dict[str, Any]
    model: Configuration
    table: RouteTable
    warnings: tuple[Problem, ...]


def check(document: Document) -> CheckedConfiguration:
    """Check a document.

    Raises:
        CheckError: The document has errors; the exception holds all errors and warnings.
    """
    if not isinstance(document.data, dict):
        raise CheckError(
            [document.problem((), f"expected a mapping of keys, got {format_value(document.data)}")]
        )
    try:
        model = Configuration.model_validate(document.data)
    except ValidationError as failure:
        raise CheckError(sorted_problems(model_problems(document, failure), document)) from None
    problems = ReferenceCheck(document, model).run()
    if any(not problem.warning for problem in problems):
        raise CheckError(sorted_problems(problems, document))
    routes = [compile_route(route) for route in model.routes]
    for covered in find_unreachable(routes):
        cover = routes[covered.covered_by]
        text = (
            f"this route can never match: the earlier route {cover.name!r} takes every request it would match"
        )
        problems.append(document.problem(("routes", covered.index), text, warning=True))
    table = RouteTable(routes, compile_target(model.default, b"default"))
    return CheckedConfiguration(document.data, model, table, tuple(sorted_problems(problems, document)))


def check_text(text: str | bytes, file: str = "configuration") -> CheckedConfiguration:
    """Check a configuration's text.

    Args:
        text: YAML or JSON.
        file: File name for error messages.

    Raises:
        CheckError: The text can't be parsed, or has errors.
    """
    return check(parse(text, file))


def check_file(path: str) -> CheckedConfiguration:
    """Check a configuration file.

    Raises:
        CheckError: The file can't be read or parsed, or has errors.
    """
    return check(read(path))
