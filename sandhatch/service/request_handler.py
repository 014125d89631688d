"""The request handler of every listener: sends each request to a pool of the active version.

A request belongs to the version that was active when the request was completely received, until its response
is sent and its last attempt has ended: its route, pool, servers, limits and classes are that version's.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from uuid import uuid4

from sandhatch.dispatch.exchange import Exchange
from sandhatch.downstream.client_connection import ClientConnection
from sandhatch.downstream.interfaces import DisconnectCallback
from sandhatch.downstream.request_parsing import ALLOW, METHODS, ParsedRequest, reject_duplicate_id
from sandhatch.http1.errors import FramingError
from sandhatch.http1.message import Message
from sandhatch.routing.route import Query
from sandhatch.routing.targets import FixedResponse, Split, Target
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.service.request_record import RequestRecord
from sandhatch.service.running_pool import RunningPool
from sandhatch.service.running_version import RunningVersion
from sandhatch.streaming.limits import StreamLimits


class RequestHandler:
    """Routes requests. `current` changes between two requests, never during one.

    Attributes:
        current: The active version; None until the first one is activated.
        on_version_freed: Called with a retired version once its last request has ended.
        on_request_received: Called with the arrival time, class name, pool name and version of each request
            that is dispatched to a pool.
        on_request_finished: Called with the record and the version of each finished request, whether a
            pool or a fixed response served it.
    """

    def __init__(self, shared: SharedResources, seed: int) -> None:
        """Start without a version; `seed` seeds the random choice of a pool on split routes."""
        self._shared = shared
        self._rng = Random(seed)
        self.current: RunningVersion | None = None
        self.on_version_freed: Callable[[RunningVersion], None] = lambda _version: None
        self.on_request_received: Callable[[float, str, str, RunningVersion], None] = lambda *_request: None
        self.on_request_finished: Callable[[RequestRecord, RunningVersion], None] = lambda *_request: None

    @property
    def ready(self) -> bool:
        """Whether there is an active version whose pools can serve."""
        return self.current is not None and self.current.ready

    def limits(self, client: ClientConnection, message: Message) -> StreamLimits | None:
        """Return the limits of a request's body, from the head of the request.

        A body that won't be forwarded is rejected before it arrives. The version that the request belongs to
        is determined later, in `begin`.

        Raises:
            FramingError: The request is rejected; the error has the status.
        """
        version = self.current
        if version is None:
            raise FramingError(503, "not ready")
        if message.method not in METHODS:
            allowed = ", ".join(sorted(method.decode() for method in METHODS))
            raise FramingError(405, f"not one of {allowed}")
        query = version.query(client.listener_name, message)
        route = version.checked.table.match(query)
        target: Target = version.checked.table.default if route is None else route.target
        if isinstance(target, FixedResponse):
            raise FramingError(target.status, target.body.decode("utf-8", "replace"))
        parsed = self._read(version, message)
        now_ms = self._shared.clock.now_ms()
        reject_duplicate_id(self._shared.in_flight_ids, parsed.trace_id, now_ms)
        return version.limits[parsed.event.class_index]

    @staticmethod
    def _read(version: RunningVersion, message: Message) -> ParsedRequest:
        requests = version.requests
        assert requests is not None  # the version has a pool, hence also a parser
        if not message.values(b"x-trace-id"):
            # Servers and logs identify requests by this id. A client that sends none can't repeat one either,
            # so a generated id never conflicts with a client's retry.
            message.add(b"X-Trace-Id", uuid4().hex.encode())
        return requests.parse(message)

    def begin(self, client: ClientConnection, message: Message) -> DisconnectCallback | None:
        """Respond to a request at once, or dispatch it.

        Returns:
            Callback for a disconnect of the client; None if the response has been sent.

        Raises:
            FramingError: The request is rejected; the error has the status.
        """
        version = self.current
        if version is None:
            raise FramingError(503, "not ready")
        if message.method not in METHODS:
            client.respond(405, ALLOW, b"")
            return None
        query = version.query(client.listener_name, message)
        table = version.checked.table
        route = table.match(query)
        target: Target = table.default if route is None else route.target
        route_name = "default" if route is None else route.name
        if isinstance(target, FixedResponse):
            self._respond(client, message, target, version, route_name, query)
            return None
        if isinstance(target, Split):
            target = target.choose(message.headers, self._rng.random)
        return self._dispatch(client, message, version, route_name, version.pools[target])

    def _respond(
        self,
        client: ClientConnection,
        message: Message,
        response: FixedResponse,
        version: RunningVersion,
        route: str,
        query: Query,
    ) -> None:
        now_ms = self._shared.clock.now_ms()
        client.respond(response.status, [(b"Content-Type", response.content_type)], response.body)
        trace_ids = message.values(b"x-trace-id")
        record = RequestRecord(
            version=version.number,
            route=route,
            pool="",
            servers=(),
            trace_id=trace_ids[0] if trace_ids else b"",
            request_class=query.request_class,
            status=response.status,
            received_at_ms=now_ms,
            responded_at_ms=now_ms,
        )
        self.on_request_finished(record, version)

    def _dispatch(
        self,
        client: ClientConnection,
        message: Message,
        version: RunningVersion,
        route: str,
        pool: RunningPool,
    ) -> DisconnectCallback:
        parsed = self._read(version, message)
        event = parsed.event
        trace_id = parsed.trace_id
        time_left_ms = event.time_left_ms
        received_at_ms = self._shared.clock.now_ms()
        reject_duplicate_id(self._shared.in_flight_ids, trace_id, received_at_ms)
        limits = version.limits[event.class_index]
        message.limits = limits
        if message.flow is not None:
            # The deadline of the request's class bounds the servers' work; streamed bodies have a time limit
            # of their own.
            expires_in = message.value(b"x-expires-in-ms")
            time_left_ms = limits.total_ms if expires_in is None else min(limits.total_ms, float(expires_in))
            event.time_left_ms = time_left_ms
        class_name = version.class_names[event.class_index]
        version.open_requests += 1
        self.on_request_received(received_at_ms, class_name, pool.name, version)
        finish = partial(self._finish, version, route, pool.name, class_name, received_at_ms)
        exchange = pool.dispatcher.start_request(client, message, time_left_ms, trace_id, event, finish)
        return partial(pool.dispatcher.client_disconnected, exchange)

    def _finish(
        self,
        version: RunningVersion,
        route: str,
        pool: str,
        request_class: str,
        received_at_ms: float,
        exchange: Exchange,
    ) -> None:
        record = RequestRecord(
            version.number,
            route,
            pool,
            tuple(exchange.servers),
            exchange.trace_id,
            request_class,
            exchange.status,
            received_at_ms,
            exchange.responded_ms,
            exchange.truncated_by,
        )
        version.open_requests -= 1
        try:
            self.on_request_finished(record, version)
        finally:
            if version.retired:
                self._free_if_unused(version)

    def retire(self, version: RunningVersion) -> None:
        """Retire a version that neither new requests nor a rollback need.

        The version is freed once its requests have ended.
        """
        version.retired = True
        self._free_if_unused(version)

    def _free_if_unused(self, version: RunningVersion) -> None:
        if not version.open_requests:
            self.on_version_freed(version)
