"""The client of the platform's discovery service: carries out calls and publishes how each ended.

When to call, and how long to wait, is decided by `sandhatch.balancing.endpoint_freshness`, never here. There
is at most one call of each sort pending. Source: PROTOCOL-sandhatch.md, "Discovery".

    call   started by  ends with                          published
    -----  ----------  ---------------------------------  ----------------------------------------------
    watch  `watch`     the complete list, or changes      FULL or DELTA, under the call's number
                       a failure                          FAILED, under the call's number
                       another watch, `relocate`, `stop`  nothing: it is cancelled with its connection
    fetch  `fetch`     the complete list                  FULL, under number 0
                       a failure                          FAILED, under number 0
                       `relocate`, `stop`                 nothing: it is cancelled with its connection

Besides these, `start` publishes CACHED and `relocate` publishes RELOCATED.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from sandhatch.balancing.actions import WatchList
from sandhatch.balancing.events import NO_VERSION, ListKind
from sandhatch.discovery.connection import DiscoveryConnection
from sandhatch.discovery.endpoint_list import Listing, parse_listing
from sandhatch.discovery.errors import DiscoveryError
from sandhatch.discovery.names import EndpointNumbering
from sandhatch.http1.message import Message
from sandhatch.runtime.address import Address

LIST_TARGET = b"/v1/endpoints"


@dataclass(slots=True, frozen=True)
class DiscoveryPlan:
    """Where discovery is, and what is known from before.

    Attributes:
        address: where discovery listens.
        zones: the names of the zones, in the order of their numbers, the own one first.
        kinds: the names of the machine types, in the order of their numbers.
        known: a complete list in discovery's form, as last received.
    """

    address: Address
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    known: dict[str, Any] | None = None


class Discovery:
    """Makes calls to discovery, one watch at a time, and publishes how each ended."""

    # For a complete list that is fetched beside the watch: longer than discovery, which takes calls in turn,
    # is known to keep one (3 s). Guards against losing the turn and calling anew while discovery is busy.
    FETCH_S = 3.5
    CONNECT_S = 1.0  # a connection is up at once or not at all: it does not wait its turn as a call does

    def __init__(
        self,
        plan: DiscoveryPlan,
        publish: Callable[[Listing], None],
        log: Callable[[str], None],
        names: EndpointNumbering | None = None,
    ) -> None:
        """Create a client that has not started.

        Args:
            plan: where discovery is, and what is known from before.
            publish: takes the listings.
            log: takes log lines.
            names: gives the servers' numbers; by default a numbering of its own.
        """
        self._set_address(plan.address)
        self._names = names or EndpointNumbering(plan.zones, plan.kinds)
        self._known = plan.known
        self._publish = publish
        self._log = log
        self._version = NO_VERSION
        self._accepted_responses = 0
        self._connection: DiscoveryConnection | None = None  # of the watch
        self._watch: asyncio.Task[None] | None = None
        self._fetch: asyncio.Task[None] | None = None
        self._stopped = False

    def _set_address(self, address: Address) -> None:
        self._address = address
        self._host_header = f"{address[0]}:{address[1]}".encode()

    # ------------------------------------------------ the source's interface

    def start(self) -> None:
        """Publish what is known from before."""
        listing = Listing(ListKind.CACHED, NO_VERSION, (), ())
        if self._known:
            try:
                listing = replace(parse_listing(self._known, self._names), kind=ListKind.CACHED)
                self._version = listing.version
            except DiscoveryError as problem:
                self._log(f"known: {problem}")
        self._publish(listing)

    def watch(self, order: WatchList) -> None:
        """Make a call of the watch.

        One that is pending ends, with its connection: an answer to it must not count as one to the next.
        """
        if self._watch is not None and not self._watch.done():
            self._watch.cancel()
            self._close_connection()
        if order.active and not self._stopped:
            self._watch = asyncio.get_running_loop().create_task(self._run_watch(order))

    def fetch(self) -> None:
        """Fetch the complete list once, beside the watch, unless a call for it is pending already."""
        if self._fetch is None or self._fetch.done():
            self._fetch = asyncio.get_running_loop().create_task(self._run_fetch())

    def republish(self) -> None:
        """Fetch the complete list anew."""
        self.fetch()

    def relocate(self, address: Address) -> None:
        """Go on at another address, with its complete list first.

        The present list stays valid until that has arrived. Calls pending at the old address end here, so
        that no late answer of it can count.
        """
        if self._stopped or address == self._address:
            return
        self._set_address(address)
        self._version = NO_VERSION  # the new service's versions are not measured against the old one's
        self._cancel_calls()
        self._watch = None
        self._fetch = None
        self._close_connection()
        self._publish(Listing(ListKind.RELOCATED, NO_VERSION, (), ()))

    def stop(self) -> None:
        """End all calls, for good."""
        self._stopped = True
        self._cancel_calls()
        if self._connection is not None:
            self._connection.close()

    def _cancel_calls(self) -> None:
        for task in (self._watch, self._fetch):
            if task is not None:
                task.cancel()

    # ------------------------------------------------ the watch

    async def _run_watch(self, order: WatchList) -> None:
        """Make one call of the watch, and publish how it ended."""
        accepted_before = self._accepted_responses
        try:
            listing = await self._call_watch(order)
            if listing.kind is ListKind.DELTA and listing.version < order.after:
                self._version = NO_VERSION  # guards against changes to another list than the present one
                raise DiscoveryError(f"changes since {order.after} came with version {listing.version}")
        except (DiscoveryError, OSError) as problem:
            self._close_connection()
            self._publish_failure(problem, order.call, order.response_timeout_ms / 1000.0)
        else:
            self._publish_response(listing, accepted_before, order.call)

    async def _call_watch(self, order: WatchList) -> Listing:
        needs_complete = order.after == NO_VERSION
        target = LIST_TARGET
        if not needs_complete:
            target += b"?after=%d&wait_ms=%d" % (order.after, order.wait_ms)
        async with asyncio.timeout(order.response_timeout_ms / 1000.0):
            if self._connection is None or not self._connection.open:
                self._connection = DiscoveryConnection()
                await self._connect(self._connection)
            listing = self._parse(await self._connection.get(target, self._host_header))
        if needs_complete:
            _check_complete(listing)
        return listing

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    # ------------------------------------------------ the fetch

    async def _run_fetch(self) -> None:
        """Fetch the complete list on a connection of its own, and publish how that ended."""
        connection = DiscoveryConnection()
        accepted_before = self._accepted_responses
        try:
            async with asyncio.timeout(self.FETCH_S):
                await self._connect(connection)
                listing = self._parse(await connection.get(LIST_TARGET, self._host_header))
            _check_complete(listing)
            self._publish_response(listing, accepted_before, 0)
        except (DiscoveryError, OSError) as problem:
            self._publish_failure(problem, 0, self.FETCH_S)
        finally:
            connection.close()

    # ------------------------------------------------ both

    async def _connect(self, connection: DiscoveryConnection) -> None:
        async with asyncio.timeout(self.CONNECT_S):
            await asyncio.get_running_loop().create_connection(lambda: connection, *self._address)

    def _parse(self, response: Message) -> Listing:
        if response.status != 200:
            raise DiscoveryError(f"answered {response.status}")
        try:
            data = json.loads(response.body)
        except (ValueError, RecursionError) as problem:
            raise DiscoveryError(f"not JSON: {problem}") from None
        return parse_listing(data, self._names)

    def _publish_response(self, listing: Listing, accepted_before: int, call: int) -> None:
        """Publish an answer, unless something newer was accepted after its call began.

        An older version with nothing accepted in between means that discovery counts anew.

        Args:
            listing: the answer.
            accepted_before: the number of answers accepted when its call began.
            call: the number of its call.
        """
        if accepted_before != self._accepted_responses and listing.version < self._version:
            listing = Listing(ListKind.DELTA, self._version, (), ())  # the call has ended, nothing changes
        else:
            self._accepted_responses += 1
        self._version = listing.version
        self._publish(replace(listing, call=call))

    def _publish_failure(self, problem: Exception, call: int, patience_s: float) -> None:
        why = str(problem) or type(problem).__name__
        if isinstance(problem, TimeoutError):
            why = f"no answer in {patience_s:.1f} s"
        self._log(f"discovery: {why}")
        self._publish(Listing(ListKind.FAILED, self._version, (), (), call, why))


def _check_complete(listing: Listing) -> None:
    if listing.kind is not ListKind.FULL:
        raise DiscoveryError("the complete list was requested and changes came")
