"""A version while it runs, and the front that every listener hands its requests to.

A request belongs to the version in force when it came whole, until its answer is given and its last attempt
has ended: its route, pool, servers, limits and classes are that version's. A version is freed once neither
new requests nor a way back need it and its last request has ended.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from uuid import uuid4

from sandhatch.balancing.events import RequestArrived
from sandhatch.config.check import Checked, pool_settings
from sandhatch.config.transactions import Version
from sandhatch.dispatch.exchange import Exchange
from sandhatch.downstream.listener import ClientConnection, DisconnectCallback
from sandhatch.downstream.request_parsing import ALLOW, METHODS, Requests, reject_known
from sandhatch.http1.message import FramingError, Message
from sandhatch.routing.table import Answer, Query, Split, Target
from sandhatch.runtime.shared import SharedResources
from sandhatch.service.pools import RunningPool
from sandhatch.streaming.flow import StreamTerms


@dataclass(slots=True, frozen=True)
class RequestRecord:
    """What is told of a request once it is over. Times are Unix milliseconds; `status` 0: the client left."""

    version: int
    route: str
    pool: str
    servers: tuple[int, ...]  # of its attempts, in order
    trace: bytes
    request_class: str
    status: int
    came_ms: float
    answered_ms: float
    cut: str = ""  # why its body or its answer was cut off: "client", "server" or "time"


class RunningVersion:
    """One version's routes and pools, and how many requests it still has."""

    def __init__(self, version: Version, pools: dict[str, RunningPool]) -> None:
        self.number = version.number
        self.checked: Checked = version.checked
        self.pools = pools
        self.open = 0
        self.retired = False
        model = self.checked.model
        some = next(iter(model.pools.values()), None)
        # The classes and tenants are the same in every pool.
        self.requests = Requests(pool_settings(model, some), model.default_class) if some else None
        self.class_names = list(model.classes)
        self.terms = [item.bodies.terms() for item in model.classes.values()]
        self.slowest_ms = max(item.deadline_ms for item in model.classes.values())
        self.longest_ms = max(self.slowest_ms, model.limits.drain_ms)  # a request's, once no new ones come
        self.longest_aim_ms = max(item.aim_ms for item in model.classes.values())

    def query(self, listener: str, message: Message) -> Query:
        host = (message.value(b"host") or b"").lower()
        name, colon, port = host.rpartition(b":")
        if colon and port.isdigit():
            host = name
        named = (message.value(b"x-qos") or b"").decode("latin-1")
        return Query(
            listener,
            host,
            message.target.partition(b"?")[0],
            message.method,
            message.headers,
            named or self.checked.model.default_class or "",
        )


class RequestHandler:
    """Sends each request its way. `current` changes between two requests, never within one."""

    def __init__(self, shared: SharedResources, seed: int) -> None:
        self._shared = shared
        self._rng = Random(seed)
        self.current: RunningVersion | None = None
        self.freed: Callable[[RunningVersion], None] = lambda version: None
        self.came: Callable[[float, str, str, RunningVersion], None] = lambda *what: None
        self.over: Callable[[RequestRecord, RunningVersion], None] = lambda record, version: None

    @property
    def ready(self) -> bool:
        version = self.current
        return version is not None and all(
            pool.dispatcher.ready or not pool.spec.require_reachable for pool in version.pools.values()
        )

    def terms(self, client: ClientConnection, message: Message) -> StreamTerms | None:
        """Looked up by the head, so that a body nobody wants is refused before it comes. Which version the
        request belongs to is settled when it begins.
        """
        version = self.current
        if version is None:
            raise FramingError(503, "not ready")
        if message.method not in METHODS:
            raise FramingError(405, f"not one of {', '.join(sorted(m.decode() for m in METHODS))}")
        query = version.query(client.listener_name, message)
        route = version.checked.table.match(query)
        target: Target = version.checked.table.default if route is None else route.target
        if isinstance(target, Answer):
            raise FramingError(target.status, target.body.decode("utf-8", "replace"))
        event, _, trace = self._read(version, message)
        reject_known(self._shared.in_flight_ids, trace)
        return version.terms[event.class_index]

    @staticmethod
    def _read(version: RunningVersion, message: Message) -> tuple[RequestArrived, float, bytes]:
        requests = version.requests
        assert requests is not None  # there is a pool, so there are settings
        if not message.values(b"x-trace-id"):
            # Servers and logs tell requests apart by it; one who sends none can't ask for it again either.
            message.add(b"X-Trace-Id", uuid4().hex.encode())
        return requests.read(message)

    def begin(self, client: ClientConnection, message: Message) -> DisconnectCallback | None:
        version = self.current
        if version is None:
            raise FramingError(503, "not ready")
        if message.method not in METHODS:
            client.answer(405, ALLOW, b"")
            return None
        query = version.query(client.listener_name, message)
        table = version.checked.table
        route = table.match(query)
        target: Target = table.default if route is None else route.target
        name = "default" if route is None else route.name
        if isinstance(target, Answer):
            self._answer(client, message, target, version, name, query)
            return None
        if isinstance(target, Split):
            target = target.choose(message.headers, self._rng.random)
        return self._send(client, message, version, name, version.pools[target])

    def _answer(
        self,
        client: ClientConnection,
        message: Message,
        answer: Answer,
        version: RunningVersion,
        route: str,
        query: Query,
    ) -> None:
        now = self._shared.clock.now_ms()
        client.answer(answer.status, [(b"Content-Type", answer.content_type)], answer.body)
        trace = message.values(b"x-trace-id")
        record = RequestRecord(
            version.number,
            route,
            "",
            (),
            trace[0] if trace else b"",
            query.request_class,
            answer.status,
            now,
            now,
        )
        self.over(record, version)

    def _send(
        self,
        client: ClientConnection,
        message: Message,
        version: RunningVersion,
        route: str,
        pool: RunningPool,
    ) -> DisconnectCallback:
        event, left, trace = self._read(version, message)
        reject_known(self._shared.in_flight_ids, trace)
        terms = message.terms = version.terms[event.class_index]
        if message.flow is not None:
            # The class's deadline is for its servers' work; a long body has its own.
            stated = message.value(b"x-expires-in-ms")
            left = terms.total_ms if stated is None else min(terms.total_ms, float(stated))
            event.time_left_ms = left
        came = self._shared.clock.now_ms()
        name = version.class_names[event.class_index]
        version.open += 1
        self.came(came, name, pool.name, version)
        done = partial(self._done, version, route, pool.name, name, came)
        return partial(
            pool.dispatcher.client_disconnected,
            pool.dispatcher.arrive(client, message, left, trace, event, done),
        )

    def _done(
        self,
        version: RunningVersion,
        route: str,
        pool: str,
        request_class: str,
        came_ms: float,
        exchange: Exchange,
    ) -> None:
        record = RequestRecord(
            version.number,
            route,
            pool,
            tuple(exchange.servers),
            exchange.trace,
            request_class,
            exchange.status,
            came_ms,
            exchange.answered_ms,
            exchange.cut,
        )
        version.open -= 1
        try:
            self.over(record, version)
        finally:
            if version.retired and not version.open:
                self.freed(version)

    def retire(self, version: RunningVersion) -> None:
        version.retired = True
        if not version.open:
            self.freed(version)
