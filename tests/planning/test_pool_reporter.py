"""Reports on one pool: deltas of what was observed that lose nothing, within a budget of bytes."""

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
from sandhatch.planning.quantile_sketch import bucket_of

WARM_UP_MS = 10_000.0


def observer_of(count: int = 3, started_ms: dict[int, float] | None = None) -> Observer:
    observer = Observer(["view", "order"], WARM_UP_MS)
    rows = [ServerEntry(n, started_ms=(started_ms or {}).get(n, 0.0)) for n in range(count)]
    observer.on_endpoint_list(ListUpdate(ListKind.FULL, 1, rows), [f"10.0.0.{n}:80" for n in range(count)])
    return observer


def attempt(
    observer: Observer, server: int, outcome: Outcome | None = Outcome.OK, spent_ms: float = 10.0
) -> None:
    """A request and its attempt; it stays in flight without an outcome."""
    observer.on_event(RequestArrived(1, 0, 100.0), [Send(1, server, 100.0)])
    if outcome is not None:
        observer.on_event(AttemptEnded(1, 0, server, outcome, True, spent_ms), [])


def add_reported_successes(successes: list[int], reporter: PoolReporter, report: PoolReport) -> None:
    for row in report.rows:
        server = reporter.server_of(row.server)
        assert server is not None
        successes[server] += row.ok


def test_the_first_report_names_servers_in_address_order_and_later_ones_only_changes() -> None:
    observer = observer_of(started_ms={1: 1_000.0})
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
    observer = observer_of(started_ms={1: 1_000.0})
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


def test_rows_carry_attempts_that_ended_since_the_last_row_and_those_in_flight() -> None:
    observer = observer_of()
    reporter = observer.new_reporter()
    reporter.report("core", 0.0, 10_000)
    attempt(observer, 0)
    attempt(observer, 0, Outcome.ERROR)
    attempt(observer, 0, Outcome.FULL)
    attempt(observer, 0, Outcome.CANCELLED)
    attempt(observer, 0, None)
    (row,) = reporter.report("core", 1.0, 10_000).report.rows
    assert (row.outstanding, row.ok, row.failed, row.rejected, row.spent_ms) == (1, 1, 1, 1, 10.0)
    assert row.sketch == [bucket_of(10.0), 1]
    observer.on_event(AttemptEnded(1, 0, 0, Outcome.OK, True, 30.0), [])
    report, _ = reporter.report("core", 2.0, 10_000)
    assert [(r.outstanding, r.ok, r.spent_ms) for r in report.rows] == [(0, 1, 30.0)]
    assert report.demand == {}
    attempt(observer, 1)
    assert reporter.report("core", 3.0, 10_000).report.demand == {"view": 1}


def test_each_reporter_reports_everything_since_its_own_last_report() -> None:
    observer = observer_of()
    first = observer.new_reporter()
    second = observer.new_reporter()
    for reporter in (first, second):
        reporter.report("core", 0.0, 10_000)
    attempt(observer, 0)
    first.report("core", 1.0, 10_000)
    attempt(observer, 0)
    assert first.report("core", 2.0, 10_000).report.rows[0].ok == 1
    assert second.report("core", 2.0, 10_000).report.rows[0].ok == 2
    second.close()
    assert observer.reporters == {first}


def test_reports_stay_within_their_budget_and_lose_nothing() -> None:
    observer = observer_of(200)
    reporter = observer.new_reporter()
    rng = Random(1)
    sent = [0] * 200
    reported = [0] * 200
    names = 0
    for turn in range(60):
        if turn < 20:
            for _ in range(50):
                server = rng.randrange(200)
                sent[server] += 1
                attempt(observer, server, spent_ms=rng.expovariate(0.1))
        report, remaining_bytes = reporter.report("core", 0.0, 600)
        assert remaining_bytes >= 0
        assert len(encode(Report(turn, 250.0, pools=[report]))) <= 700
        names += len(report.names)
        add_reported_successes(reported, reporter, report)
    for _ in range(60):
        report, _ = reporter.report("core", 0.0, 600)
        add_reported_successes(reported, reporter, report)
    assert names == 200
    assert reported == sent


def test_the_server_that_changed_most_is_reported_first() -> None:
    observer = observer_of(20)
    reporter = observer.new_reporter()
    reporter.report("core", 0.0, 10_000)
    for server in range(20):
        attempt(observer, server)
    for _ in range(10):
        attempt(observer, 13)
    (row,) = reporter.report("core", 1.0, 45).report.rows
    assert reporter.server_of(row.server) == 13


def test_a_server_removed_before_it_was_named_is_not_reported() -> None:
    observer = observer_of()
    reporter = observer.new_reporter()
    observer.on_endpoint_list(ListUpdate(ListKind.FULL, 2, [ServerEntry(0)]), ["10.0.0.0:80"])
    report, _ = reporter.report("core", 0.0, 10_000)
    assert (report.names, report.not_ready) == (["10.0.0.0:80"], [])
    assert not reporter.relisted


def test_attempts_in_flight_at_a_removed_server_are_not_reported_and_nothing_is_kept_of_it() -> None:
    observer = observer_of()
    reporter = observer.new_reporter()
    reporter.report("core", 0.0, 10_000)
    attempt(observer, 1, None)
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
    assert 1 not in reporter.changed
    assert 1 not in reporter._reported_totals
