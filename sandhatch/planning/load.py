"""Load of one pool, aggregated by a planner from the reports of all forwarders.

The influence of each report is bounded, so that one forwarder with wrong reports changes the result only a
little. No I/O, no clock. Source: docs/design/planning.md.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from itertools import chain

from sandhatch.planning.errors import InvalidReportError
from sandhatch.planning.messages import PoolReport
from sandhatch.planning.numbering import NumberingTable, ServerNumbering
from sandhatch.planning.readiness import Readiness
from sandhatch.planning.server_view import Assessment, ServerView
from sandhatch.planning.weights import EVIDENCE_DECAY_MS, assess_servers, median

MAX_SERVERS = 20_000  # servers of a pool whose addresses one session may send
OUTSTANDING_SMOOTHING_MS = 400.0  # time constant of the moving average of outstanding attempts
DEMAND_SMOOTHING_MS = 5_000.0  # time constant of the moving average of a forwarder's request rate
MAX_DEMAND_RATIO = 4.0  # bound on a forwarder's demand relative to the median, above and below
MAX_ROW_RATIO = 3.0  # multiple of the mean attempts per row, above which a row's attempts are weighted down
MAX_ROW_MEAN_RATIO = 10.0  # multiple of the mean attempts per row at which a report's own mean is capped
ROW_MEAN_RETENTION = 0.99  # weight of the previous mean attempts per row when one row is added
BASELINE_PRIOR_ATTEMPTS = 50.0  # weight of the previous baseline, in attempts


class MemberLoad:
    """Load of one pool as reported by one forwarder.

    Attributes:
        instance_index: Index of the forwarder among the pool's instances.
        key: Key of `numbering`, derived from the server addresses that the forwarder sent in this session.
        numbering: Servers by their numbers in this session.
        readiness: One `Readiness` value for each server number.
        warming_up: Numbers of the servers reported to be warming up.
        outstanding: Attempts in flight, by server number; without zeros.
        demand_per_s: Smoothed rate of the forwarder's requests.
        baseline_ms: Mean response time of the forwarder over all servers; 0 if unknown.
        sent_weights_version: Version of the weights that were last sent to the forwarder; -1 for none.
    """

    __slots__ = (
        "baseline_ms",
        "demand_per_s",
        "instance_index",
        "key",
        "numbering",
        "outstanding",
        "readiness",
        "sent_weights_version",
        "warming_up",
    )

    def __init__(self, empty_numbering: ServerNumbering) -> None:
        """Create the load of a forwarder whose session has not sent any server's address yet.

        Args:
            empty_numbering: A numbering without servers.
        """
        self.instance_index = 0
        self.key = b""
        self.numbering = empty_numbering
        self.readiness = bytearray()
        self.warming_up: set[int] = set()
        self.outstanding: dict[int, int] = {}
        self.demand_per_s = 0.0
        self.baseline_ms = 0.0
        self.sent_weights_version = -1


class PoolLoad:
    """Load of one pool, aggregated over all forwarders.

    Attributes:
        name: Name of the pool.
        servers: Servers whose address was sent in any session, by address.
        members: Forwarders that report on the pool, by name.
        warming_up: Servers that any forwarder reports to be warming up, by address.
        weights_version: Counter that increases whenever a weight changes.
    """

    def __init__(self, name: str) -> None:
        """Start without servers or forwarders."""
        self.name = name
        self.servers: dict[str, ServerView] = {}
        self.members: dict[str, MemberLoad] = {}
        self.weights_version = 0
        self.warming_up: dict[str, ServerView] = {}
        self._mean_row_attempts = 1.0
        self._numberings = NumberingTable()

    # ------------------------------------------------ reports

    def new_session(self, name: str) -> None:
        """Discard a forwarder's numbering and totals, which start again in a new session."""
        member = self.members.get(name)
        if member is None:
            return
        for number in range(len(member.readiness)):
            self._set_readiness(member, number, Readiness.NOT_READY)
        member.key = b""
        member.numbering = self._numberings.empty
        member.readiness = bytearray()
        member.sent_weights_version = -1

    def remove(self, name: str) -> None:
        """Remove a forwarder and its contribution to the load."""
        self.new_session(name)
        self.members.pop(name, None)

    def apply(self, name: str, report: PoolReport, span_ms: float) -> None:
        """Apply a forwarder's report.

        Args:
            name: Name of the forwarder.
            report: The forwarder's report on this pool.
            span_ms: Time span that the report covers.

        Raises:
            InvalidReportError: The session has sent too many addresses, or a number is not assigned to a
                server.
        """
        member = self.members.get(name)
        if member is None:
            member = self.members[name] = MemberLoad(self._numberings.empty)
        member.instance_index = report.instance_index
        if report.names:
            self._append_names(member, report.names)
        self._check_numbers(report, len(member.readiness))
        self._apply_readiness(member, report)
        self._add_report_rows(member, report)
        if span_ms > 0.0:
            rate_per_s = sum(report.demand.values()) / span_ms * 1000.0
            decay_factor = math.exp(-span_ms / DEMAND_SMOOTHING_MS)
            member.demand_per_s = decay_factor * member.demand_per_s + (1.0 - decay_factor) * rate_per_s

    def _apply_readiness(self, member: MemberLoad, report: PoolReport) -> None:
        for number in report.warming_up:
            self._set_readiness(member, number, Readiness.WARMING_UP)
        for number in report.warm:
            self._set_readiness(member, number, Readiness.WARM)
        for number in report.not_ready:
            self._set_readiness(member, number, Readiness.NOT_READY)

    def _check_numbers(self, report: PoolReport, named_count: int) -> None:
        row_numbers = (row.server for row in report.rows)
        highest = max(chain(report.warming_up, report.warm, report.not_ready, row_numbers), default=-1)
        if highest >= named_count:
            raise InvalidReportError(f"pool {self.name}: server {highest} has no name in this session")

    def _append_names(self, member: MemberLoad, names: list[str]) -> None:
        """Append server addresses to a session's numbering."""
        if len(member.readiness) + len(names) > MAX_SERVERS:
            raise InvalidReportError(
                f"pool {self.name}: more than {MAX_SERVERS} servers named in one session"
            )
        key = self._numberings.extended_key(member.key, names)
        numbering = self._numberings.get(key)
        if numbering is None:
            views = [*member.numbering.views, *map(self._get_or_add_view, names)]
            numbering = self._numberings.add(key, views)
        member.key = key
        member.numbering = numbering
        member.readiness.extend(bytes(len(names)))  # NOT_READY unless this report says otherwise

    def _get_or_add_view(self, address: str) -> ServerView:
        view = self.servers.get(address)
        if view is None:
            view = self.servers[address] = ServerView(address)
        return view

    def _set_readiness(self, member: MemberLoad, number: int, readiness: Readiness) -> None:
        """Record the readiness of a server in a forwarder's endpoint list."""
        previous = member.readiness[number]
        view = member.numbering.views[number]
        # Later rows of a draining server report its outstanding attempts again; a removed server gets no more
        # rows, so its outstanding attempts must be subtracted here.
        if readiness == Readiness.NOT_READY:
            view.outstanding -= member.outstanding.pop(number, 0)
        if previous == readiness:
            return
        member.readiness[number] = readiness
        view.listed_in += (readiness != Readiness.NOT_READY) - (previous != Readiness.NOT_READY)
        view.warming_up_in += (readiness == Readiness.WARMING_UP) - (previous == Readiness.WARMING_UP)
        if readiness == Readiness.WARMING_UP:
            member.warming_up.add(number)
            self.warming_up[view.address] = view
        else:
            member.warming_up.discard(number)

    def _add_report_rows(self, member: MemberLoad, report: PoolReport) -> None:
        views = member.numbering.views
        baseline_ms = member.baseline_ms
        # A row counts for at most `MAX_ROW_RATIO` (three) times the mean, even if a forwarder reports many
        # times its real attempts.
        max_attempts = MAX_ROW_RATIO * max(1.0, self._mean_row_attempts)
        ended_attempts = 0
        rows_with_attempts = 0
        successes = 0
        spent_ms = 0.0
        for row in report.rows:
            view = views[row.server]
            attempts = row.ok + row.failed
            if attempts:
                rows_with_attempts += 1
                ended_attempts += attempts
                successes += row.ok
                spent_ms += row.spent_ms
                sample_weight = 1.0 if attempts <= max_attempts else max_attempts / attempts
                view.add(row.ok, row.failed, row.spent_ms, sample_weight, baseline_ms)
            if row.outstanding != member.outstanding.get(row.server, 0):
                self._set_outstanding(member, row.server, row.outstanding)
        if rows_with_attempts:
            self._update_mean_row_attempts(ended_attempts, rows_with_attempts)
        if successes:
            weight = successes / (successes + BASELINE_PRIOR_ATTEMPTS) if baseline_ms else 1.0
            member.baseline_ms += weight * (spent_ms / successes - baseline_ms)

    def _update_mean_row_attempts(self, ended_attempts: int, rows: int) -> None:
        """Update the moving average of attempts per row with the rows of one report."""
        weight = 1.0 - ROW_MEAN_RETENTION**rows
        row_mean = min(ended_attempts / rows, MAX_ROW_MEAN_RATIO * self._mean_row_attempts)
        self._mean_row_attempts += weight * (row_mean - self._mean_row_attempts)

    @staticmethod
    def _set_outstanding(member: MemberLoad, number: int, outstanding: int) -> None:
        previous = member.outstanding.get(number, 0)
        member.numbering.views[number].outstanding += outstanding - previous
        if outstanding:
            member.outstanding[number] = outstanding
        else:
            del member.outstanding[number]

    # ------------------------------------------------ weights and demand

    def update_weights(self, span_ms: float, unbounded_steps: bool = False) -> None:
        """Update the weights of all listed servers.

        Args:
            span_ms: Time since the last update.
            unbounded_steps: Whether weights go to their targets at once instead of in small steps.
        """
        decay_factor = math.exp(-span_ms / EVIDENCE_DECAY_MS)
        smoothing = 1.0 - math.exp(-span_ms / OUTSTANDING_SMOOTHING_MS)
        self._remove_unused()
        listed = [view for view in self.servers.values() if view.listed_in]
        for view in listed:
            view.decay(decay_factor, smoothing)
        warm = [view for view in listed if not view.warming_up]
        if warm:
            median_latency_ms = median(
                member.baseline_ms for member in self.members.values() if member.baseline_ms
            )
            step_span_ms = math.inf if unbounded_steps else span_ms
            if assess_servers(warm, median_latency_ms, step_span_ms):
                self.weights_version += 1
        for view in listed:
            view.reports = 0

    def _remove_unused(self) -> None:
        warmed_up = [address for address, view in self.warming_up.items() if not view.warming_up_in]
        for address in warmed_up:
            del self.warming_up[address]
        # The state of a server is retained while any session numbers the server, even if no forwarder lists
        # the server: it may be listed again.
        if len(self.servers) > 2 * MAX_SERVERS:
            numbered = self._numberings.numbered_views()
            self.servers = {address: view for address, view in self.servers.items() if id(view) in numbered}

    def reduced_weights(self) -> dict[str, Assessment]:
        """Assessments of the listed servers with a weight below 1, by address."""
        return {
            address: view.assessment
            for address, view in self.servers.items()
            if view.assessment.weight < 1.0 and view.listed_in
        }

    def bounded_demands(self, names: Iterable[str]) -> dict[str, float]:
        """Requests per second of each of these forwarders, bounded relative to their median.

        The bound prevents a forwarder with wrong reports from starving the others.
        """
        rates_per_s = {name: self.members[name].demand_per_s for name in names if name in self.members}
        median_per_s = median(rates_per_s.values()) or max(rates_per_s.values(), default=0.0) or 1.0
        return {
            name: min(MAX_DEMAND_RATIO * median_per_s, max(median_per_s / MAX_DEMAND_RATIO, rate))
            for name, rate in rates_per_s.items()
        }
