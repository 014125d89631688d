"""Reports to one planner on one pool: the changes since the last report, within a byte budget.

Changes that do not fit are deferred to a later report and not lost, since a row covers everything since the
previous row of its server. No I/O, no clock. Source: docs/planning-link.md.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from heapq import nlargest
from typing import NamedTuple, Protocol

from sandhatch.planning.messages import PoolReport, RampShareRow, Row
from sandhatch.planning.readiness import Readiness
from sandhatch.planning.server_totals import ServerTotals

# Upper bounds of encoded sizes in bytes.
ROW_BYTES = 32
SKETCH_PAIR_BYTES = 4
NUMBER_BYTES = 4
NAME_OVERHEAD_BYTES = 4
RAMP_SHARE_BYTES = 24

_ZERO_TOTALS = ServerTotals()


class NamedServer(Protocol):
    """The part of an endpoint list's entry that reports use."""

    @property
    def address(self) -> str:
        """The server's address."""


class ReporterSource(Protocol):
    """The interface of the pool's observer that a reporter uses; see `observer.Observer`."""

    reporters: set[PoolReporter]

    @property
    def totals(self) -> Mapping[int, ServerTotals]:
        """Totals by server."""

    @property
    def listed(self) -> Mapping[int, NamedServer]:
        """The endpoint list."""

    @property
    def demand(self) -> dict[str, int]:
        """Number of requests that arrived, by class."""

    def readiness(self, server: int, now_ms: float) -> Readiness:
        """Readiness of a server according to the endpoint list."""

    def collect_warmed_up(self, now_ms: float) -> list[int]:
        """Return the servers that became warm since the last call."""


class BudgetedReport(NamedTuple):
    """A report, and the remaining bytes of its budget."""

    report: PoolReport
    remaining_bytes: int


class _BudgetedRow(NamedTuple):
    """A server's row of a report, or None if the row did not fit, and the remaining bytes of the budget."""

    row: Row | None
    remaining_bytes: int


class PoolReporter:
    """Reports on one pool in one session with a planner.

    Attributes:
        changed_totals: Servers whose totals changed since their last row.
        changed_entries: Servers whose entry in the endpoint list changed since it was reported.
    """

    def __init__(self, observer: ReporterSource) -> None:
        """Mark all of the observer's servers as changed, so that the first report contains them."""
        self._observer = observer
        self._is_first = True
        self._numbers: dict[int, int] = {}  # a server's number in the session, by its number in the balancer
        self._servers: list[int] = []  # a server's number in the balancer, by its number in the session
        self._reported_totals: dict[int, ServerTotals] = {}
        self._reported_demand = dict(observer.demand)
        self._reported_readiness: dict[int, Readiness] = {}
        self.changed_totals: set[int] = set(observer.totals)
        self.changed_entries: set[int] = set(observer.listed)

    def close(self) -> None:
        """Detach from the observer, which then marks no more changes for this reporter."""
        self._observer.reporters.discard(self)

    def server_of(self, number: int) -> int | None:
        """The balancer's number for the session's number of a server; None if no server has this number."""
        return self._servers[number] if number < len(self._servers) else None

    def discard_totals(self, server: int) -> None:
        """Discard the totals of a server that was removed."""
        self.changed_totals.discard(server)
        self._reported_totals.pop(server, None)

    def report(
        self, pool: str, now_ms: float, budget_bytes: int, previous_grants: Iterable[RampShareRow] = ()
    ) -> BudgetedReport:
        """Report the changes since the last report, as far as they fit into the budget.

        Addresses of new servers come first, then changes of their readiness, then rows of the servers that
        changed most.

        Args:
            pool: Name of the pool.
            now_ms: Current time.
            budget_bytes: Maximum encoded size of the addresses, numbers, shares and rows.
            previous_grants: Ramp shares that the planner's previous incarnation granted, by the balancer's
                numbers of the servers.
        """
        report = PoolReport(pool, anew=self._is_first)
        self._is_first = False
        remaining_bytes = self._add_names(report, budget_bytes)
        remaining_bytes = self._add_readiness(report, now_ms, remaining_bytes)
        self._add_demand(report)
        for share in previous_grants:
            number = self._numbers.get(share.server)
            if number is not None and remaining_bytes >= RAMP_SHARE_BYTES:
                report.previous_grants.append(RampShareRow(number, share.rate, share.burst))
                remaining_bytes -= RAMP_SHARE_BYTES
        return BudgetedReport(report, self._add_rows(report, remaining_bytes))

    def _add_names(self, report: PoolReport, remaining_bytes: int) -> int:
        """Number new servers in the order of their addresses, so that forwarders number them alike."""
        listed = self._observer.listed
        unnamed = [
            server for server in self.changed_entries if server not in self._numbers and server in listed
        ]
        for address, server in sorted((listed[server].address, server) for server in unnamed):
            cost_bytes = len(address) + NAME_OVERHEAD_BYTES
            if cost_bytes > remaining_bytes:
                break
            remaining_bytes -= cost_bytes
            self._numbers[server] = len(self._servers)
            self._servers.append(server)
            report.names.append(address)
        return remaining_bytes

    def _add_readiness(self, report: PoolReport, now_ms: float, remaining_bytes: int) -> int:
        self.changed_entries.update(self._observer.collect_warmed_up(now_ms))
        for server in list(self.changed_entries):
            number = self._numbers.get(server)
            if number is None:
                if server not in self._observer.listed:
                    self.changed_entries.discard(server)  # removed before its address was sent in a report
                continue
            if remaining_bytes < NUMBER_BYTES:
                break
            self.changed_entries.discard(server)
            readiness = self._observer.readiness(server, now_ms)
            reported = self._reported_readiness.get(server, Readiness.NOT_READY)
            # A removed server is reported even if its draining was reported: no rows for it will follow.
            if readiness != reported or server not in self._observer.listed:
                self._reported_readiness[server] = readiness
                self._add_number(report, number, readiness)
                remaining_bytes -= NUMBER_BYTES
        return remaining_bytes

    @staticmethod
    def _add_number(report: PoolReport, number: int, readiness: Readiness) -> None:
        match readiness:
            case Readiness.WARMING_UP:
                report.warming_up.append(number)
            case Readiness.WARM:
                report.warm.append(number)
            case Readiness.NOT_READY:
                report.not_ready.append(number)

    def _add_demand(self, report: PoolReport) -> None:
        report.demand = {
            name: count - self._reported_demand.get(name, 0)
            for name, count in self._observer.demand.items()
            if count != self._reported_demand.get(name, 0)
        }
        self._reported_demand = dict(self._observer.demand)

    def _add_rows(self, report: PoolReport, remaining_bytes: int) -> int:
        listed = self._observer.listed
        servers = [server for server in self.changed_totals if server in self._numbers and server in listed]
        max_rows = max(0, remaining_bytes // ROW_BYTES)
        if len(servers) > max_rows:
            servers = nlargest(max_rows, servers, key=self._change_magnitude)
        for server in servers:
            row, remaining_bytes = self._create_row(server, remaining_bytes)
            if row is None:
                break
            report.rows.append(row)
            self.changed_totals.discard(server)
        return remaining_bytes

    def _change_magnitude(self, server: int) -> int:
        """Magnitude of a server's change since its last row."""
        current = self._observer.totals[server]
        previous = self._reported_totals.get(server, _ZERO_TOTALS)
        ended = current.ok + current.failed - previous.ok - previous.failed
        return ended + 2 * abs(current.outstanding - previous.outstanding)

    def _create_row(self, server: int, remaining_bytes: int) -> _BudgetedRow:
        current = self._observer.totals[server]
        previous = self._reported_totals.get(server, _ZERO_TOTALS)
        sketch_pairs = _added_pairs(previous.sketch, current.sketch)
        cost_bytes = ROW_BYTES + SKETCH_PAIR_BYTES * len(sketch_pairs) // 2
        if cost_bytes > remaining_bytes:
            return _BudgetedRow(None, remaining_bytes)
        row = Row(
            self._numbers[server],
            current.outstanding,
            current.ok - previous.ok,
            current.failed - previous.failed,
            current.rejected - previous.rejected,
            current.spent_ms - previous.spent_ms,
            sketch_pairs,
        )
        self._reported_totals[server] = current.copy()
        return _BudgetedRow(row, remaining_bytes - cost_bytes)


def _added_pairs(previous: Mapping[int, int], current: Mapping[int, int]) -> list[int]:
    """Increments of a sketch's counts, as alternating buckets and increments."""
    pairs: list[int] = []
    for bucket, count in current.items():
        added = count - previous.get(bucket, 0)
        if added:
            pairs += (bucket, added)
    return pairs
