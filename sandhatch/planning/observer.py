"""A forwarder's observations of one pool: totals by server, the endpoint list and the demand.

Any number of `PoolReporter`s read an observer, and each reports the changes since its own last report.
No I/O, no clock. Source: docs/design/planning.md.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sandhatch.balancing.actions import Action, Send
from sandhatch.balancing.events import (
    NEUTRAL_OUTCOMES,
    NEVER_RAN,
    AttemptEnded,
    Event,
    ListKind,
    ListUpdate,
    Outcome,
    RequestArrived,
    ServerState,
)
from sandhatch.planning.pool_reporter import PoolReporter
from sandhatch.planning.quantile_sketch import bucket_index
from sandhatch.planning.readiness import Readiness
from sandhatch.planning.server_totals import ServerTotals


@dataclass(slots=True, frozen=True)
class ListedServer:
    """An entry of the endpoint list.

    Attributes:
        address: The server's address as `host:port`.
        ready: Whether the server is ready, and not draining.
        started_ms: Start time of the server's process; 0 if unknown.
    """

    address: str
    ready: bool
    started_ms: float


class Observer:
    """Receives each event of one pool's balancer, and the actions that the balancer returned.

    Attributes:
        totals: Totals of each server, by the balancer's server number.
        listed: The endpoint list, by the balancer's server number.
        reporters: Reporters, one for each session with a planner.
    """

    def __init__(self, classes: Sequence[str], warm_up_ms: float) -> None:
        """Start without servers.

        Args:
            classes: Names of the request classes, by their index.
            warm_up_ms: Duration of a server's warm-up after its start.
        """
        self._classes = classes
        self._warm_up_ms = warm_up_ms
        self._request_counts = [0] * len(classes)
        self._warming_up: set[int] = set()  # warming up, or warm since the last `collect_warmed_up`
        self.totals: dict[int, ServerTotals] = {}
        self.listed: dict[int, ListedServer] = {}
        self.reporters: set[PoolReporter] = set()

    def is_compatible(self, classes: Sequence[str], warm_up_ms: float) -> bool:
        """Whether this observer can continue with these settings of its pool."""
        return list(self._classes) == list(classes) and self._warm_up_ms == warm_up_ms

    @property
    def demand(self) -> dict[str, int]:
        """Number of requests that arrived, by class; classes without requests are omitted."""
        counts = zip(self._classes, self._request_counts, strict=True)
        return {name: count for name, count in counts if count}

    def new_reporter(self) -> PoolReporter:
        """Create a reporter for a session with a planner."""
        reporter = PoolReporter(self)
        self.reporters.add(reporter)
        return reporter

    # ------------------------------------------------ events

    def on_event(self, event: Event, actions: Sequence[Action]) -> None:
        """Record an event that the balancer received, and the actions that it returned."""
        if isinstance(event, RequestArrived):
            self._request_counts[event.class_index] += 1
        elif isinstance(event, AttemptEnded):
            self._record_attempt_end(event)
        for action in actions:
            if isinstance(action, Send):
                server = action.server
                totals = self.totals.get(server)
                if totals is None:
                    totals = self.totals[server] = ServerTotals()
                totals.outstanding += 1
                for reporter in self.reporters:
                    reporter.changed_totals.add(server)

    def _record_attempt_end(self, event: AttemptEnded) -> None:
        totals = self.totals.get(event.server)
        if totals is None:
            return  # the attempt began before this observer was created
        totals.outstanding = max(0, totals.outstanding - 1)
        if event.outcome is Outcome.OK:
            totals.ok += 1
            totals.spent_ms += event.spent_ms
            bucket = bucket_index(event.spent_ms)
            totals.sketch[bucket] = totals.sketch.get(bucket, 0) + 1
        elif event.outcome in NEVER_RAN:
            totals.rejected += 1
        elif event.outcome not in NEUTRAL_OUTCOMES:
            totals.failed += 1
        if not totals.outstanding and event.server not in self.listed:
            self._discard_totals(event.server)  # the attempt was the last at a removed server
            return
        for reporter in self.reporters:
            reporter.changed_totals.add(event.server)

    def _discard_totals(self, server: int) -> None:
        self.totals.pop(server, None)
        for reporter in self.reporters:
            reporter.discard_totals(server)

    # ------------------------------------------------ endpoint list

    def on_endpoint_list(
        self,
        update: ListUpdate,
        addresses: Sequence[str],
        failure_reason: str = "",  # noqa: ARG002 - the dispatcher's observer protocol
    ) -> None:
        """Record an endpoint list that the balancer received.

        Args:
            update: The list, or its changes.
            addresses: Addresses of the list's entries, in the same order.
            failure_reason: Origin of the list; not used.
        """
        if update.kind in (ListKind.FULL, ListKind.CACHED):
            listed_servers = {entry.server for entry in update.entries}
            for server in [server for server in self.listed if server not in listed_servers]:
                self._remove(server)
        for entry, address in zip(update.entries, addresses, strict=True):
            if entry.state is ServerState.GONE:
                if entry.server in self.listed:
                    self._remove(entry.server)
                continue
            is_ready = entry.state is ServerState.READY
            self.listed[entry.server] = ListedServer(address, is_ready, entry.started_ms)
            if entry.started_ms > 0.0:
                self._warming_up.add(entry.server)
            self._mark_list_change(entry.server)

    def _remove(self, server: int) -> None:
        del self.listed[server]
        self._warming_up.discard(server)
        totals = self.totals.get(server)
        if totals is None or not totals.outstanding:
            self._discard_totals(server)
        self._mark_list_change(server)

    def _mark_list_change(self, server: int) -> None:
        for reporter in self.reporters:
            reporter.changed_entries.add(server)

    def readiness(self, server: int, now_ms: float) -> Readiness:
        """Readiness of a server according to the endpoint list."""
        listed = self.listed.get(server)
        if listed is None or not listed.ready:
            return Readiness.NOT_READY
        return Readiness.WARMING_UP if self._is_warming_up(listed, now_ms) else Readiness.WARM

    def _is_warming_up(self, listed: ListedServer, now_ms: float) -> bool:
        return listed.started_ms > 0.0 and now_ms - listed.started_ms < self._warm_up_ms

    def collect_warmed_up(self, now_ms: float) -> list[int]:
        """Return the servers that became warm since the last call, and mark them for all reporters."""
        warm = [server for server in self._warming_up if not self._is_warming_up(self.listed[server], now_ms)]
        for server in warm:
            self._warming_up.discard(server)
            self._mark_list_change(server)
        return warm
