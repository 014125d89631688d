"""A version of the configuration while it runs: its routes, pools and number of open requests. No I/O.

A version is freed once neither new requests nor a rollback need it and its last request has ended.
"""

from __future__ import annotations

from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.pool_settings import pool_settings
from sandhatch.config.version import Version
from sandhatch.downstream.request_parsing import RequestHeaderParser
from sandhatch.http1.message import Message
from sandhatch.routing.route import Query
from sandhatch.service.running_pool import RunningPool


class RunningVersion:
    """Routes, pools and number of open requests of one version.

    Attributes:
        number: Number of the version.
        checked: Configuration of the version.
        pools: Pools of the version by name.
        open_requests: Number of the version's requests that have not ended.
        retired: Whether neither new requests nor a rollback need the version.
        requests: Parser of request headers; None if the version has no pool.
        class_names: Names of the request classes, by class index.
        limits: Limits of bodies, by class index.
        longest_deadline_ms: Longest deadline of the version's request classes.
        longest_request_ms: Longest time that a request may take during a graceful shutdown.
        longest_objective_ms: Longest latency objective of the version's request classes.
    """

    def __init__(self, version: Version, pools: dict[str, RunningPool]) -> None:
        """Prepare a checked version to run on the given pools."""
        self.number = version.number
        self.checked: CheckedConfiguration = version.checked
        self.pools = pools
        self.open_requests = 0
        self.retired = False
        model = self.checked.model
        # The parser may come from any pool: request classes and tenants are the same in every pool.
        any_pool = next(iter(model.pools.values()), None)
        self.requests = (
            RequestHeaderParser(pool_settings(model, any_pool), model.default_class) if any_pool else None
        )
        self.class_names = list(model.classes)
        self.limits = [item.bodies.limits() for item in model.classes.values()]
        self.longest_deadline_ms = max(item.deadline_ms for item in model.classes.values())
        self.longest_request_ms = max(self.longest_deadline_ms, model.limits.drain_ms)
        self.longest_objective_ms = max(item.aim_ms for item in model.classes.values())

    @property
    def ready(self) -> bool:
        """Whether every pool that must be reachable can serve."""
        return all(
            pool.dispatcher.has_ready_server or not pool.spec.require_reachable
            for pool in self.pools.values()
        )

    def query(self, listener: str, message: Message) -> Query:
        """Return the properties by which the route table matches a request received on the named listener."""
        host = (message.value(b"host") or b"").lower()
        host_name, colon, port = host.rpartition(b":")
        if colon and port.isdigit():
            host = host_name
        class_name = (message.value(b"x-qos") or b"").decode("latin-1")
        return Query(
            listener,
            host,
            message.target.partition(b"?")[0],
            message.method,
            message.headers,
            class_name or self.checked.model.default_class or "",
        )
