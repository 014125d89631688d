"""Reports on one pool: complete deltas of the observations, within a byte budget."""

from __future__ import annotations

from random import Random

from sandhatch.balancing.actions import Send
from sandhatch.balancing.events import (
    AttemptEnded,
    ListKind,
    ListUpdate,
    Outcome,
    RequestArrived,
    ServerEntry,
    ServerState,
)
from sandhatch.planning.messages import PoolReport, Report, encode
from sandhatch.planning.observer import Observer
from sandhatch.planning.pool_reporter import PoolReporter
from sandhatch.planning.quantile_sketch import bucket_index

WARM_UP_MS = 10_000.0


def observer_with_servers(count: int = 3, started_ms: dict[int, float] | None = None) -> Observer:
    observer = Observer(["view", "order"], WARM_UP_MS)
    rows = [ServerEntry(n, started_ms=(started_ms or {}).get(n, 0.0)) for n in range(count)]
    observer.on_endpoint_list(ListUpdate(ListKind.FULL, 1, rows), [f"10.0.0.{n}:80" for n in range(count)])
    return observer


def record_attempt(
    observer: Observer, server: int, outcome: Outcome | None = Outcome.OK, spent_ms: float = 10.0
) -> None:
    """Record a request and its attempt; without an outcome the attempt stays in flight."""
    observer.on_event(RequestArrived(1, 0, 100.0), [Send(1, server, 100.0)])
    if outcome is not None:
        observer.on_event(AttemptEnded(1, 0, server, outcome, True, spent_ms), [])


def add_reported_successes(successes: list[int], reporter: PoolReporter, report: PoolReport) -> None:
    for row in report.rows:
        server = reporter.server_of(row.server)
        assert server is not None
        successes[server] += row.ok


def test_the_first_report_names_servers_in_address_order_and_later_reports_only_changes() -> None:
    observer = observer_with_servers(started_ms={1: 1_000.0})
    reporter = observer.new_reporter()
    first, _ = reporter.report("core", 2_000.0, 10_000)
    assert first.anew
    assert first.names == ["10.0.0.0:80", "10.0.0.1:80", "10.0.0.2:80"]
    assert (first.warm, first.warming_up, first.not_ready, first.rows) == ([0, 2], [1], [], [])
    second, _ = reporter.report("core", 2_100.0, 10_000)
    assert second == PoolReport("core")
    rows = [ServerEntry(0, ServerState.DRAINING), ServerEntry(9)]
    observer.on_endpoint_list(ListUpdate(ListKind.DELTA, 2, rows), ["10.0.0.0:80", "10.0.0.9:80"])
    third, _ = reporter.report("core", 2_200.0, 10_000)
    assert (third.names, third.not_ready, third.warm) == (["10.0.0.9:80"], [0], [3])
    assert [reporter.server_of(n) for n in range(5)] == [0, 1, 2, 9, None]


def test_a_server_is_reported_warm_after_its_warm_up_and_warming_up_after_a_restart() -> None:
    observer = observer_with_servers(started_ms={1: 1_000.0})
    reporter = observer.new_reporter()
    other = observer.new_reporter()
    reporter.report("core", 2_000.0, 10_000)
    other.report("core", 2_000.0, 10_000)
    assert reporter.report("core", 11_000.0, 10_000).report.warm == [1]
    assert other.report("core", 11_000.0, 10_000).report.warm == [1]
    observer.on_endpoint_list(
        ListUpdate(ListKind.DELTA, 2, [ServerEntry(1, started_ms=12_000.0)]), ["10.0.0.1:80"]
    )
    assert reporter.report("core", 12_000.0, 10_000).report.warming_up == [1]


def test_rows_contain_attempts_ended_since_the_last_row_and_attempts_in_flight() -> None:
    observer = observer_with_servers()
    reporter = observer.new_reporter()
    reporter.report("core", 0.0, 10_000)
    record_attempt(observer, 0)
    record_attempt(observer, 0, Outcome.ERROR)
    record_attempt(observer, 0, Outcome.FULL)
    record_attempt(observer, 0, Outcome.CANCELLED)
    record_attempt(observer, 0, None)
    (row,) = reporter.report("core", 1.0, 10_000).report.rows
    assert (row.outstanding, row.ok, row.failed, row.rejected, row.spent_ms) == (1, 1, 1, 1, 10.0)
    assert row.sketch == [bucket_index(10.0), 1]
    observer.on_event(AttemptEnded(1, 0, 0, Outcome.OK, True, 30.0), [])
    report, _ = reporter.report("core", 2.0, 10_000)
    assert [(r.outstanding, r.ok, r.spent_ms) for r in report.rows] == [(0, 1, 30.0)]
    assert report.demand == {}
    record_attempt(observer, 1)
    assert reporter.report("core", 3.0, 10_000).report.demand == {"view": 1}


def test_each_reporter_reports_everything_since_its_own_last_report() -> None:
    observer = observer_with_servers()
    first = observer.new_reporter()
    second = observer.new_reporter()
    for reporter in (first, second):
        reporter.report("core", 0.0, 10_000)
    record_attempt(observer, 0)
    first.report("core", 1.0, 10_000)
    record_attempt(observer, 0)
    assert first.report("core", 2.0, 10_000).report.rows[0].ok == 1
    assert second.report("core", 2.0, 10_000).report.rows[0].ok == 2
    second.close()
    assert observer.reporters == {first}


def test_reports_stay_within_the_byte_budget_and_lose_no_attempt() -> None:
    observer = observer_with_servers(200)
    reporter = observer.new_reporter()
    rng = Random(1)
    sent = [0] * 200
    reported = [0] * 200
    named_count = 0
    for round_index in range(60):
        if round_index < 20:
            for _ in range(50):
                server_number = rng.randrange(200)
                sent[server_number] += 1
                record_attempt(observer, server_number, spent_ms=rng.expovariate(0.1))
        report, remaining_bytes = reporter.report("core", 0.0, 600)
        assert remaining_bytes >= 0
        assert len(encode(Report(round_index, 250.0, pools=[report]))) <= 700
        named_count += len(report.names)
        add_reported_successes(reported, reporter, report)
    for _ in range(60):
        report, _ = reporter.report("core", 0.0, 600)
        add_reported_successes(reported, reporter, report)
    assert named_count == 200
    assert reported == sent


def test_the_server_that_changed_most_is_reported_first() -> None:
    observer = observer_with_servers(20)
    reporter = observer.new_reporter()
    reporter.report("core", 0.0, 10_000)
    for server in range(20):
        record_attempt(observer, server)
    for _ in range(10):
        record_attempt(observer, 13)
    (row,) = reporter.report("core", 1.0, 45).report.rows
    assert reporter.server_of(row.server) == 13


def test_a_server_removed_before_it_was_named_is_not_reported() -> None:
    observer = observer_with_servers()
    reporter = observer.new_reporter()
    observer.on_endpoint_list(ListUpdate(ListKind.FULL, 2, [ServerEntry(0)]), ["10.0.0.0:80"])
    report, _ = reporter.report("core", 0.0, 10_000)
    assert (report.names, report.not_ready) == (["10.0.0.0:80"], [])
    assert not reporter.changed_entries


def test_a_removed_servers_attempts_in_flight_are_not_reported_and_no_state_is_retained() -> None:
    observer = observer_with_servers()
    reporter = observer.new_reporter()
    reporter.report("core", 0.0, 10_000)
    record_attempt(observer, 1, None)
    assert [row.outstanding for row in reporter.report("core", 1.0, 10_000).report.rows] == [1]
    observer.on_endpoint_list(
        ListUpdate(ListKind.DELTA, 2, [ServerEntry(1, ServerState.DRAINING)]), ["10.0.0.1:80"]
    )
    assert reporter.report("core", 2.0, 10_000).report.not_ready == [1]
    observer.on_endpoint_list(
        ListUpdate(ListKind.DELTA, 3, [ServerEntry(1, ServerState.GONE)]), ["10.0.0.1:80"]
    )
    report, _ = reporter.report("core", 3.0, 10_000)
    assert (report.not_ready, report.rows) == ([1], [])
    observer.on_event(AttemptEnded(1, 0, 1, Outcome.RESET, True, 30.0), [])
    assert reporter.report("core", 4.0, 10_000).report.rows == []
    assert 1 not in observer.totals
    assert 1 not in reporter.changed_totals
    assert 1 not in reporter._reported_totals
