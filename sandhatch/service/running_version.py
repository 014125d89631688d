"""One version of the configuration while it runs: its routes, pools and number of open requests. No I/O.

A version is freed once neither new requests nor a rollback need it and its last request has ended.
"""

from __future__ import annotations

from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.pool_settings import pool_settings
from sandhatch.config.version import Version
from sandhatch.downstream.request_parsing import Requests
from sandhatch.http1.message import Message
from sandhatch.routing.route import Query
from sandhatch.service.running_pool import RunningPool


class RunningVersion:
    """One version's routes and pools, and how many requests it still has.

    Attributes:
        number: The version's number.
        checked: Its configuration.
        pools: Its pools by name.
        open: How many of its requests have not ended.
        retired: Whether neither new requests nor a rollback need it.
        requests: Parser of request headers; None if the version has no pool.
        class_names: Names of the request classes, by class index.
        terms: Limits of bodies, by class index.
        longest_deadline_ms: The longest deadline of its classes.
        longest_request_ms: The longest that a request may take once no new ones are accepted.
        longest_objective_ms: The longest latency objective of its classes.
    """

    def __init__(self, version: Version, pools: dict[str, RunningPool]) -> None:
        """Prepare a checked version to run on the given pools."""
        self.number = version.number
        self.checked: CheckedConfiguration = version.checked
        self.pools = pools
        self.open = 0
        self.retired = False
        model = self.checked.model
        any_pool = next(
            iter(model.pools.values()), None
        )  # the classes and tenants are the same in every pool
        self.requests = Requests(pool_settings(model, any_pool), model.default_class) if any_pool else None
        self.class_names = list(model.classes)
        self.terms = [item.bodies.terms() for item in model.classes.values()]
        self.longest_deadline_ms = max(item.deadline_ms for item in model.classes.values())
        self.longest_request_ms = max(self.longest_deadline_ms, model.limits.drain_ms)
        self.longest_objective_ms = max(item.aim_ms for item in model.classes.values())

    @property
    def ready(self) -> bool:
        """Whether every pool that must be reachable can serve."""
        return all(pool.dispatcher.ready or not pool.spec.require_reachable for pool in self.pools.values())

    def query(self, listener: str, message: Message) -> Query:
        """What the route table needs to know of a request that arrived on the named listener."""
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
