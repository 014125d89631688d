"""Check of references between keys of one configuration: names must exist, and addresses must be unique.

The check takes a model whose values are valid one by one, and reports errors and warnings. Source:
docs/operators/configuration.md.
"""

from __future__ import annotations

from collections.abc import Collection

from sandhatch.config.document import Document, KeyPath
from sandhatch.config.errors import Problem
from sandhatch.config.model import Configuration
from sandhatch.config.pool_model import Pool, Server
from sandhatch.config.route_model import Match, TargetModel

MAX_NAMES_SHOWN = 8


class ReferenceCheck:
    """One check of one model; `problems` collects the errors and warnings."""

    def __init__(self, document: Document, model: Configuration) -> None:
        """Store the document, which gives the line numbers, and the model made from it."""
        self._document = document
        self._model = model
        self._used_pools: set[str] = set()
        self.problems: list[Problem] = []

    def run(self) -> list[Problem]:
        """Run all checks; return the errors and warnings in the order in which they were found."""
        self._check_route_names()
        if self._model.default_class is not None:
            self._check_name(("default_class",), self._model.default_class, "class", self._model.classes)
        for index, route in enumerate(self._model.routes):
            self._check_match(("routes", index, "match"), route.match)
            self._check_target(("routes", index, "to"), route.to)
        self._check_target(("default",), self._model.default)
        self._check_listeners()
        for name, pool in self._model.pools.items():
            self._check_pool(name, pool)
        return self.problems

    def _error(self, path: KeyPath, text: str) -> None:
        self.problems.append(self._document.problem(path, text))

    def _warn(self, path: KeyPath, text: str) -> None:
        self.problems.append(self._document.problem(path, text, warning=True))

    def _check_name(self, path: KeyPath, name: str, kind: str, existing: Collection[str]) -> None:
        if name not in existing:
            names = ", ".join(sorted(existing)[:MAX_NAMES_SHOWN]) or "none"
            self._error(path, f"expected the name of a {kind} (there are: {names}), got {name!r}")

    # -------------------------------------------- routes

    def _check_route_names(self) -> None:
        first_by_name: dict[str, int] = {}
        for index, route in enumerate(self._model.routes):
            first = first_by_name.setdefault(route.name, index)
            if first != index:
                line = self._document.line(("routes", first))
                text = f"expected a name of its own, got {route.name!r} a second time; first in line {line}"
                self._error(("routes", index, "name"), text)

    def _check_match(self, path: KeyPath, match: Match) -> None:
        for index, name in enumerate(match.listeners or ()):
            self._check_name((*path, "listeners", index), name, "listener", self._model.listeners)
        for index, name in enumerate(match.classes or ()):
            self._check_name((*path, "classes", index), name, "class", self._model.classes)
        for index, host in enumerate(match.hosts or ()):
            if "*" in host.removeprefix("*.") or ":" in host or not host.isascii():
                text = f"expected a host without a port, or *. and a host, got {host!r}"
                self._error((*path, "hosts", index), text)

    def _check_target(self, path: KeyPath, target: TargetModel) -> None:
        if target.pool is not None:
            self._check_pool_name((*path, "pool"), target.pool)
        if target.weighted is not None:
            for index, part in enumerate(target.weighted.pools):
                self._check_pool_name((*path, "weighted", "pools", index, "pool"), part.pool)

    def _check_pool_name(self, path: KeyPath, name: str) -> None:
        self._used_pools.add(name)
        self._check_name(path, name, "pool", self._model.pools)

    # -------------------------------------------- listeners and pools

    def _check_listeners(self) -> None:
        first_by_address: dict[str, str] = {}
        for name, listener in self._model.listeners.items():
            address = listener.address
            first = first_by_address.setdefault(address, name)
            if first != name and not address.endswith(":0"):  # with port 0 the system selects a free port
                text = f"expected an address of its own, got {address!r}, which listener {first!r} has"
                self._error(("listeners", name, "address"), text)

    def _check_pool(self, name: str, pool: Pool) -> None:
        if name not in self._used_pools:
            self._warn(("pools", name), "no route leads to this pool")
        self._check_instances(name, pool)
        if pool.servers is not None:
            self._check_servers(name, pool.servers)

    def _check_instances(self, name: str, pool: Pool) -> None:
        """Check that this instance's index is below the number of instances that the pool declares."""
        planning = self._model.planning
        has_planners = planning is not None and bool(planning.planners)
        instance_index = planning.place if planning is not None else 0
        shared = pool.ramp_per_s > 0.0 or (has_planners and pool.planned)
        if shared and instance_index >= pool.copies:
            text = f"expected a number below {pool.copies}, the copies of pool {name!r}, got {instance_index}"
            self._error(("planning", "place"), text)
        if pool.ramp_per_s and pool.copies > 1 and planning is None:
            text = (
                f"expected planning.place to say which of the {pool.copies} copies that share it this one is"
            )
            self._error(("pools", name, "ramp_per_s"), text)

    def _check_servers(self, name: str, servers: dict[str, Server]) -> None:
        if not any(server.state == "ready" for server in servers.values()):
            self._warn(("pools", name, "servers"), "no server is ready: every request will be rejected")
        first_by_address: dict[str, str] = {}
        for server_name, server in servers.items():
            first = first_by_address.setdefault(server.address, server_name)
            if first != server_name:
                path: KeyPath = ("pools", name, "servers", server_name, "address")
                text = f"expected an address of its own, got {server.address!r}, which server {first!r} has"
                self._error(path, text)
