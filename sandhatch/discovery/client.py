"""Client of the platform's discovery service, which makes calls and publishes the result of each.

The time and the time-out of a watch are decided by `sandhatch.balancing.endpoint_freshness`, never here. At
most one call of each type is pending. Source: PROTOCOL-sandhatch.md, "Discovery".

    call   started by  ends with                          published listing
    -----  ----------  ---------------------------------  ----------------------------------------------
    watch  `watch`     the complete list, or changes      FULL or DELTA, with the call's number
                       a failure                          FAILED, with the call's number
                       another watch, `relocate`, `stop`  none: call cancelled, connection closed
    fetch  `fetch`     the complete list                  FULL, with number 0
                       a failure                          FAILED, with number 0
                       `relocate`, `stop`                 none: call cancelled, connection closed

In addition, `start` publishes CACHED and `relocate` publishes RELOCATED.
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
from sandhatch.discovery.numbering import EndpointNumbering
from sandhatch.http1.message import Message
from sandhatch.runtime.address import Address

LIST_TARGET = b"/v1/endpoints"


@dataclass(slots=True, frozen=True)
class DiscoveryPlan:
    """Address of discovery, and the data that is available before the first call.

    Attributes:
        address: Address at which discovery listens.
        zones: Names of the zones in the order of their numbers, this instance's zone first.
        machine_types: Names of the machine types in the order of their numbers.
        initial_list: Last complete list that was received, in discovery's format.
    """

    address: Address
    zones: tuple[str, ...] = ()
    machine_types: tuple[str, ...] = ()
    initial_list: dict[str, Any] | None = None


class Discovery:
    """Makes calls to discovery, one watch at a time, and publishes the result of each."""

    # Time-out of a fetch of the complete list beside the watch. Discovery serves calls one after another and
    # is known to hold a call for 3 s; a shorter time-out would give up the fetch's place in the queue and
    # repeat the fetch while discovery is busy.
    FETCH_TIMEOUT_S = 3.5
    # Time-out of connection establishment, which succeeds at once or not at all: unlike a call, it does not
    # wait in discovery's queue.
    CONNECT_TIMEOUT_S = 1.0

    def __init__(
        self,
        plan: DiscoveryPlan,
        publish: Callable[[Listing], None],
        log: Callable[[str], None],
        numbering: EndpointNumbering | None = None,
    ) -> None:
        """Create a client that has not started.

        Args:
            plan: Address of discovery, and the data that is available before the first call.
            publish: Callback that receives each listing.
            log: Callback that receives each log line.
            numbering: Assigns the servers' numbers; a new numbering by default.
        """
        self._set_address(plan.address)
        self._numbering = numbering or EndpointNumbering(plan.zones, plan.machine_types)
        self._initial_list = plan.initial_list
        self._publish = publish
        self._log = log
        self._version = NO_VERSION
        self._accepted_response_count = 0
        self._watch_connection: DiscoveryConnection | None = None
        self._watch_task: asyncio.Task[None] | None = None
        self._fetch_task: asyncio.Task[None] | None = None
        self._stopped = False

    def _set_address(self, address: Address) -> None:
        self._address = address
        self._host_header = f"{address[0]}:{address[1]}".encode()

    # ------------------------------------------------ interface of an endpoint list source

    def start(self) -> None:
        """Publish the list that is available before the first call, or an empty one."""
        listing = Listing(ListKind.CACHED, NO_VERSION, (), ())
        if self._initial_list:
            try:
                listing = replace(parse_listing(self._initial_list, self._numbering), kind=ListKind.CACHED)
                self._version = listing.version
            except DiscoveryError as problem:
                self._log(f"discovery: ignoring the known list: {problem}")
        self._publish(listing)

    def watch(self, command: WatchList) -> None:
        """Make a watch call.

        A pending watch call is cancelled and its connection closed, so that a late response to it is not
        taken for the response to the new call.
        """
        if self._watch_task is not None and not self._watch_task.done():
            self._watch_task.cancel()
            self._close_watch_connection()
        if command.active and not self._stopped:
            self._watch_task = asyncio.get_running_loop().create_task(self._run_watch(command))

    def fetch(self) -> None:
        """Fetch the complete list once, beside the watch, unless a fetch is already pending."""
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.get_running_loop().create_task(self._run_fetch())

    def republish(self) -> None:
        """Fetch the complete list again."""
        self.fetch()

    def relocate(self, address: Address) -> None:
        """Switch to discovery at another address, starting with its complete list.

        The current list stays valid until the new one has been received. Calls that are pending at the
        previous address are cancelled, so that no late response from there is applied.
        """
        if self._stopped or address == self._address:
            return
        self._set_address(address)
        self._version = NO_VERSION  # list versions of the old and the new address are not comparable
        self._cancel_calls()
        self._watch_task = None
        self._fetch_task = None
        self._close_watch_connection()
        self._publish(Listing(ListKind.RELOCATED, NO_VERSION, (), ()))

    def stop(self) -> None:
        """Cancel all calls; no further watch is started."""
        self._stopped = True
        self._cancel_calls()
        if self._watch_connection is not None:
            self._watch_connection.close()

    def _cancel_calls(self) -> None:
        for task in (self._watch_task, self._fetch_task):
            if task is not None:
                task.cancel()

    # ------------------------------------------------ watch

    async def _run_watch(self, command: WatchList) -> None:
        """Make one watch call, and publish its result."""
        accepted_count_before = self._accepted_response_count
        try:
            listing = await self._call_watch(command)
            if listing.kind is ListKind.DELTA and listing.version < command.after:
                # A version that went back belongs to a new list, whose changes do not apply to the old list.
                self._version = NO_VERSION
                raise DiscoveryError(
                    f"version went back: changes since {command.after} have version {listing.version}"
                )
        except (DiscoveryError, OSError) as problem:
            self._close_watch_connection()
            self._publish_failure(problem, command.call, command.response_timeout_ms / 1000.0)
        else:
            self._publish_response(listing, accepted_count_before, command.call)

    async def _call_watch(self, command: WatchList) -> Listing:
        needs_complete = command.after == NO_VERSION
        target = LIST_TARGET
        if not needs_complete:
            target += b"?after=%d&wait_ms=%d" % (command.after, command.wait_ms)
        async with asyncio.timeout(command.response_timeout_ms / 1000.0):
            if self._watch_connection is None or not self._watch_connection.open:
                self._watch_connection = DiscoveryConnection()
                await self._connect(self._watch_connection)
            listing = self._parse(await self._watch_connection.get(target, self._host_header))
        if needs_complete:
            _require_complete(listing)
        return listing

    def _close_watch_connection(self) -> None:
        if self._watch_connection is not None:
            self._watch_connection.close()
            self._watch_connection = None

    # ------------------------------------------------ fetch

    async def _run_fetch(self) -> None:
        """Fetch the complete list on a separate connection, and publish the result."""
        connection = DiscoveryConnection()
        accepted_count_before = self._accepted_response_count
        try:
            async with asyncio.timeout(self.FETCH_TIMEOUT_S):
                await self._connect(connection)
                listing = self._parse(await connection.get(LIST_TARGET, self._host_header))
            _require_complete(listing)
            self._publish_response(listing, accepted_count_before, 0)
        except (DiscoveryError, OSError) as problem:
            self._publish_failure(problem, 0, self.FETCH_TIMEOUT_S)
        finally:
            connection.close()

    # ------------------------------------------------ watch and fetch

    async def _connect(self, connection: DiscoveryConnection) -> None:
        async with asyncio.timeout(self.CONNECT_TIMEOUT_S):
            await asyncio.get_running_loop().create_connection(lambda: connection, *self._address)

    def _parse(self, response: Message) -> Listing:
        if response.status != 200:
            raise DiscoveryError(f"response has status {response.status} instead of 200")
        try:
            data = json.loads(response.body)
        except (ValueError, RecursionError) as problem:
            raise DiscoveryError(f"response is not JSON: {problem}") from None
        return parse_listing(data, self._numbering)

    def _publish_response(self, listing: Listing, accepted_count_before: int, call: int) -> None:
        """Publish a response, or no changes if a newer response was accepted after its call began.

        An older version without another accepted response in between means that discovery has restarted its
        version count.

        Args:
            listing: Content of the response.
            accepted_count_before: Number of responses that were accepted when the call began.
            call: Number of the call.
        """
        if accepted_count_before != self._accepted_response_count and listing.version < self._version:
            # Ends the watch without a change of the list.
            listing = Listing(ListKind.DELTA, self._version, (), ())
        else:
            self._accepted_response_count += 1
        self._version = listing.version
        self._publish(replace(listing, call=call))

    def _publish_failure(self, problem: Exception, call: int, timeout_s: float) -> None:
        why = str(problem) or type(problem).__name__
        if isinstance(problem, TimeoutError):
            why = f"no response within {timeout_s:.1f} s"
        self._log(f"discovery: {why}")
        self._publish(Listing(ListKind.FAILED, self._version, (), (), call, why))


def _require_complete(listing: Listing) -> None:
    if listing.kind is not ListKind.FULL:
        raise DiscoveryError("the complete list was requested and changes came")
