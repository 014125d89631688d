"""A document checked in full: every error in one go, each with file, line, key, value and what would be
right.

What passes is a `Checked`, which holds the model and the compiled route table; nothing else may be staged. It
does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import re2
from pydantic import ValidationError
from pydantic_core import ErrorDetails

from sandhatch.balancing.settings import Effect, RequestClass, Settings, Tenant
from sandhatch.config.document import Document, Path, parse, read
from sandhatch.config.errors import CheckError, Problem
from sandhatch.config.model import Class, Configuration, HeaderMatch, Match, Pool, Target, Weighted
from sandhatch.config.model import Route as RouteModel
from sandhatch.routing.table import Answer, HeaderTest, Route, RouteTable, Split, Test, unreachable
from sandhatch.routing.table import Target as Compiled

MOST_PROBLEMS = 200  # told; the rest are counted

# What pydantic says of a value by its type of error, in the words of this configuration.
WANTED = {
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


@dataclass(slots=True, frozen=True)
class Checked:
    """A configuration that may be staged. `data` is the document as it was written, `warnings` what is
    odd.
    """

    data: dict[str, Any]
    model: Configuration
    table: RouteTable
    warnings: tuple[Problem, ...]


def _shown(value: Any) -> str:
    text = repr(value) if not isinstance(value, dict | list) else f"a {type(value).__name__}"
    return {"a dict": "a mapping", "a list": "a list"}.get(
        text, text if len(text) <= 60 else text[:57] + "..."
    )


def _value_at(data: Any, path: Path) -> Any:
    for part in path:
        try:
            data = data[part]
        except (KeyError, IndexError, TypeError):
            return None
    return data


def _text(error: ErrorDetails) -> str:
    kind = error["type"]
    context = error.get("ctx", {})
    if kind in WANTED:
        return WANTED[kind]
    if kind == "value_error":
        return str(context["error"])
    if kind == "literal_error":
        return f"one of {context['expected']} is wanted"
    if kind == "string_pattern_mismatch":
        return f"a text like {context['pattern']} is wanted"
    return error["msg"].replace("Input should be", "it should be").replace("Dictionary", "the mapping")


def model_problems(document: Document, failure: ValidationError) -> Iterator[Problem]:
    for error in failure.errors(include_url=False, include_input=False):
        path = tuple(part for part in error["loc"] if part != "[key]")
        value = _value_at(document.data, path)
        shown = "" if value is None or isinstance(value, dict | list) else f"{_shown(value)}: "
        yield document.problem(path, shown + _text(error))


class _References:
    """What one key says of another."""

    def __init__(self, document: Document, model: Configuration) -> None:
        self._document = document
        self._model = model
        self.problems: list[Problem] = []
        self.used: set[str] = set()

    def run(self) -> list[Problem]:
        self._names()
        if self._model.default_class is not None:
            self._known(("default_class",), self._model.default_class, "class", self._model.classes)
        for at, route in enumerate(self._model.routes):
            self._match(("routes", at, "match"), route.match)
            self._target(("routes", at, "to"), route.to)
        self._target(("default",), self._model.default)
        self._listeners()
        self._pools()
        return self.problems

    def _error(self, path: Path, text: str) -> None:
        self.problems.append(self._document.problem(path, text))

    def _warn(self, path: Path, text: str) -> None:
        self.problems.append(self._document.problem(path, text, warning=True))

    def _known(self, path: Path, name: str, kind: str, among: Any) -> None:
        if name not in among:
            there = ", ".join(sorted(among)[:8]) or "none"
            self._error(path, f"{name!r} names no {kind}; there are: {there}")

    def _names(self) -> None:
        seen: dict[str, int] = {}
        for at, route in enumerate(self._model.routes):
            first = seen.setdefault(route.name, at)
            if first != at:
                line = self._document.line(("routes", first))
                self._error(("routes", at, "name"), f"{route.name!r} is there twice, first in line {line}")

    def _match(self, path: Path, match: Match) -> None:
        for key, kind, among in (
            ("listeners", "listener", self._model.listeners),
            ("classes", "class", self._model.classes),
        ):
            for at, name in enumerate(getattr(match, key) or ()):
                self._known((*path, key, at), name, kind, among)
        for at, host in enumerate(match.hosts or ()):
            if "*" in host.removeprefix("*.") or ":" in host or not host.isascii():
                self._error(
                    (*path, "hosts", at), f"{host!r}: a host without port is wanted, or *. and a host"
                )

    def _target(self, path: Path, target: Target) -> None:
        if target.pool is not None:
            self.used.add(target.pool)
            self._known((*path, "pool"), target.pool, "pool", self._model.pools)
        for at, part in enumerate(target.weighted.pools if target.weighted else ()):
            self.used.add(part.pool)
            self._known((*path, "weighted", "pools", at, "pool"), part.pool, "pool", self._model.pools)

    def _listeners(self) -> None:
        seen: dict[str, str] = {}
        for name, listener in self._model.listeners.items():
            first = seen.setdefault(listener.address, name)
            if first != name and not listener.address.endswith(":0"):
                self._error(
                    ("listeners", name, "address"), f"{listener.address!r} is listener {first!r}'s already"
                )

    def _place(self, name: str, pool: Pool) -> None:
        planning = self._model.planning
        shared = pool.ramp_per_s > 0.0 or (planning is not None and planning.planners and pool.planned)
        place = planning.place if planning is not None else 0
        if shared and place >= pool.copies:
            path: Path = ("planning", "place")
            self._error(path, f"{place}: pool {name!r} has {pool.copies} copies, with places from 0 on")
        if pool.ramp_per_s and pool.copies > 1 and planning is None:
            self._error(
                ("pools", name, "ramp_per_s"),
                f"{pool.copies} copies share it; planning.place must say which of them this one is",
            )

    def _pools(self) -> None:
        for name, pool in self._model.pools.items():
            if name not in self.used:
                self._warn(("pools", name), "no route leads to this pool")
            self._place(name, pool)
            if pool.servers is None:
                continue
            if not any(server.state == "ready" for server in pool.servers.values()):
                self._warn(("pools", name, "servers"), "no server is ready: every request will be refused")
            seen: dict[str, str] = {}
            for server, entry in pool.servers.items():
                first = seen.setdefault(entry.address, server)
                if first != server:
                    self._error(
                        ("pools", name, "servers", server, "address"),
                        f"{entry.address!r} is server {first!r}'s already",
                    )


# ------------------------------------------------ compiling


def _test(match: HeaderMatch) -> Test | None:
    if match.exact is not None:
        return match.exact.encode().__eq__
    if match.prefix is not None:
        start = match.prefix.encode()
        return lambda value: value.startswith(start)
    return _whole(match.regex) if match.regex is not None else None


def _whole(pattern: str) -> Callable[[bytes], bool]:
    options = re2.Options()
    options.log_errors = False
    # Bytes that are no UTF-8 must not make a match fail with an error.
    options.encoding = re2.Options.Encoding.LATIN1
    compiled = re2.compile(pattern.encode(), options)
    return lambda value: compiled.fullmatch(value) is not None


def compile_target(target: Target, salt: bytes) -> Compiled:
    if target.pool is not None:
        return target.pool
    if target.weighted is not None:
        weighted: Weighted = target.weighted
        parts = [(part.pool, part.weight) for part in weighted.pools]
        return Split.of(parts, (weighted.by or "").encode(), salt)
    assert target.answer is not None
    return Answer(target.answer.status, target.answer.body.encode(), target.answer.content_type.encode())


def compile_route(route: RouteModel) -> Route:
    match = route.match
    path = match.path
    return Route(
        name=route.name,
        target=compile_target(route.to, route.name.encode()),
        exact=path.exact.encode() if path and path.exact is not None else None,
        prefix=path.prefix.encode() if path and path.prefix is not None else None,
        regex=_whole(path.regex) if path and path.regex is not None else None,
        hosts=frozenset(host.lower().encode() for host in match.hosts or ()),
        methods=frozenset(method.encode() for method in match.methods or ()),
        listeners=frozenset(match.listeners or ()),
        classes=frozenset(match.classes or ()),
        headers=tuple(
            HeaderTest(item.name.lower().encode(), _test(item), item.present is not False)
            for item in match.headers
        ),
    )


def _request_class(name: str, item: Class) -> RequestClass:
    return RequestClass(
        objective_ms=item.aim_ms,
        deadline_ms=item.deadline_ms,
        effect=Effect(item.effect),
        priority_weight=item.worth,
        deduplication_ms=item.memory_ms,
        name=name,
    )


def pool_settings(model: Configuration, pool: Pool) -> Settings:
    """What a pool's balancer is told."""
    return Settings(
        classes=[_request_class(name, item) for name, item in model.classes.items()],
        tenants=[Tenant(item.quota_per_s, item.fraction, name) for name, item in model.tenants.items()],
        instance_index=model.planning.place if model.planning is not None else 0,
        instances=pool.copies,
        ramp_per_s=pool.ramp_per_s,
        ramp_burst=pool.ramp_burst,
        tier=pool.tier,
        tiers=pool.tier + 1,
        polled_discovery=bool(pool.source and pool.source.ask),
        one_shot_watches=pool.source is not None,
        initial_capacity_share=pool.cold_share,
        warm_up_ms=pool.cold_ms,
        max_attempts=pool.max_attempts,
        may_cancel=pool.may_cancel,
        hedging_allowed=pool.second_copies,
        connection_idle_ms=pool.idle_ms,
        connect_timeout_ms=pool.connect_timeout_ms,
        retry_advice=True,
        max_retry_after_ms=2_000.0,
    )


def check(document: Document) -> Checked:
    """The whole check; CheckError has every problem found."""
    if not isinstance(document.data, dict):
        raise CheckError([document.problem((), "the file holds no mapping of keys")])
    try:
        model = Configuration.model_validate(document.data)
    except ValidationError as failure:
        raise CheckError(in_order(list(model_problems(document, failure)), document)) from None
    problems = _References(document, model).run()
    if any(not problem.warning for problem in problems):
        raise CheckError(in_order(problems, document))
    routes = [compile_route(route) for route in model.routes]
    for at, cover in unreachable(routes):
        text = f"it can never match: {routes[cover].name!r} before it takes all that it would"
        problems.append(document.problem(("routes", at), text, warning=True))
    table = RouteTable(routes, compile_target(model.default, b"default"))
    return Checked(document.data, model, table, tuple(in_order(problems, document)))


def check_text(text: str | bytes, file: str = "configuration") -> Checked:
    """Text to a checked configuration; CheckError also where it is no document."""
    return check(parse(text, file))


def check_file(path: str) -> Checked:
    """The same out of a file."""
    return check(read(path))


def in_order(problems: list[Problem], document: Document) -> list[Problem]:
    problems.sort(key=lambda problem: problem.line)
    if len(problems) > MOST_PROBLEMS:
        more = document.problem((), f"{len(problems) - MOST_PROBLEMS} more problems are not shown")
        del problems[MOST_PROBLEMS:]
        problems.append(more)
    return problems
