"""What a forwarder tells of what it sees: deltas that lose nothing, within a budget of bytes."""

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
from sandhatch.planning.quantile_sketch import BUCKETS, QuantileSketch, bucket_of, merged, value_of

COLD_MS = 10_000.0


def observer(count: int = 3, **started: float) -> Observer:
    found = Observer(["view", "order"], COLD_MS)
    rows = [ServerEntry(n, started_ms=started.get(f"s{n}", 0.0)) for n in range(count)]
    found.on_endpoint_list(ListUpdate(ListKind.FULL, 1, rows), [f"10.0.0.{n}:80" for n in range(count)])
    return found


def call(found: Observer, server: int, outcome: Outcome | None = Outcome.OK, spent: float = 10.0) -> None:
    found.saw(RequestArrived(1, 0, 100.0), [Send(1, server, 100.0)])
    if outcome is not None:
        found.saw(AttemptEnded(1, 0, server, outcome, True, spent), [])


def test_the_first_report_names_the_servers_by_their_address_and_later_ones_what_is_new() -> None:
    found = observer(s1=1_000.0)
    told = found.tell()
    report, _ = told.report("core", 2_000.0, 10_000)
    assert report.anew and report.names == ["10.0.0.0:80", "10.0.0.1:80", "10.0.0.2:80"]
    assert (report.warm, report.cold, report.left, report.rows) == ([0, 2], [1], [], [])
    again, _ = told.report("core", 2_100.0, 10_000)
    assert again == PoolReport("core")
    rows = [ServerEntry(0, ServerState.DRAINING), ServerEntry(9)]
    found.on_endpoint_list(ListUpdate(ListKind.DELTA, 2, rows), ["10.0.0.0:80", "10.0.0.9:80"])
    third, _ = told.report("core", 2_200.0, 10_000)
    assert (third.names, third.left, third.warm) == (["10.0.0.9:80"], [0], [3])
    assert [told.server_of(n) for n in range(5)] == [0, 1, 2, 9, None]


def test_a_cold_server_is_told_to_be_warm_once_it_is_and_cold_again_when_it_restarts() -> None:
    found = observer(s1=1_000.0)
    told, other = found.tell(), found.tell()
    told.report("core", 2_000.0, 10_000)
    other.report("core", 2_000.0, 10_000)
    assert told.report("core", 11_000.0, 10_000)[0].warm == [1]
    assert other.report("core", 11_000.0, 10_000)[0].warm == [1]
    found.on_endpoint_list(
        ListUpdate(ListKind.DELTA, 2, [ServerEntry(1, started_ms=12_000.0)]), ["10.0.0.1:80"]
    )
    assert told.report("core", 12_000.0, 10_000)[0].cold == [1]


def test_rows_carry_what_ended_since_and_what_is_out_now() -> None:
    found = observer()
    told = found.tell()
    told.report("core", 0.0, 10_000)
    call(found, 0)
    call(found, 0, Outcome.ERROR)
    call(found, 0, Outcome.FULL)
    call(found, 0, Outcome.CANCELLED)
    call(found, 0, None)
    (row,) = told.report("core", 1.0, 10_000)[0].rows
    assert (row.outstanding, row.ok, row.failed, row.rejected, row.spent_ms) == (1, 1, 1, 1, 10.0)
    assert row.sketch == [bucket_of(10.0), 1]
    found.saw(AttemptEnded(1, 0, 0, Outcome.OK, True, 30.0), [])
    report, _ = told.report("core", 2.0, 10_000)
    assert [(r.outstanding, r.ok, r.spent_ms) for r in report.rows] == [(0, 1, 30.0)]
    assert report.demand == {}
    call(found, 1)
    assert told.report("core", 3.0, 10_000)[0].demand == {"view": 1}


def test_each_planner_is_told_all_whenever_it_is_asked() -> None:
    found = observer()
    one, other = found.tell(), found.tell()
    for told in (one, other):
        told.report("core", 0.0, 10_000)
    call(found, 0)
    one.report("core", 1.0, 10_000)
    call(found, 0)
    assert one.report("core", 2.0, 10_000)[0].rows[0].ok == 1
    assert other.report("core", 2.0, 10_000)[0].rows[0].ok == 2
    other.close()
    assert found.audience == {one}


def test_a_budget_is_kept_to_and_nothing_is_lost_by_it() -> None:
    found = observer(200)
    told = found.tell()
    rng, sent = Random(1), [0] * 200
    got = [0] * 200
    names = 0
    for turn in range(60):
        if turn < 20:
            for _ in range(50):
                server = rng.randrange(200)
                sent[server] += 1
                call(found, server, spent=rng.expovariate(0.1))
        report, left = told.report("core", 0.0, 600)
        assert left >= 0
        assert len(encode(Report(turn, 250.0, pools=[report]))) <= 700
        names += len(report.names)
        for row in report.rows:
            server = told.server_of(row.server)
            assert server is not None
            got[server] += row.ok
    for _ in range(60):
        report, _ = told.report("core", 0.0, 600)
        for row in report.rows:
            server = told.server_of(row.server)
            assert server is not None
            got[server] += row.ok
    assert names == 200
    assert got == sent


def test_what_changed_most_is_told_first() -> None:
    found = observer(20)
    told = found.tell()
    told.report("core", 0.0, 10_000)
    for server in range(20):
        call(found, server)
    for _ in range(10):
        call(found, 13)
    (row,) = told.report("core", 1.0, 45)[0].rows
    assert told.server_of(row.server) == 13


def test_a_server_that_goes_before_it_was_named_is_not_told() -> None:
    found = observer()
    told = found.tell()
    found.on_endpoint_list(ListUpdate(ListKind.FULL, 2, [ServerEntry(0)]), ["10.0.0.0:80"])
    report, _ = told.report("core", 0.0, 10_000)
    assert (report.names, report.left) == (["10.0.0.0:80"], [])
    assert not told.relisted


def test_what_is_out_at_a_server_that_has_gone_is_told_no_more_and_nothing_is_kept_of_it() -> None:
    found = observer()
    told = found.tell()
    told.report("core", 0.0, 10_000)
    call(found, 1, None)
    assert [row.outstanding for row in told.report("core", 1.0, 10_000)[0].rows] == [1]
    found.on_endpoint_list(
        ListUpdate(ListKind.DELTA, 2, [ServerEntry(1, ServerState.DRAINING)]), ["10.0.0.1:80"]
    )
    assert told.report("core", 2.0, 10_000)[0].left == [1]
    found.on_endpoint_list(ListUpdate(ListKind.DELTA, 3, [ServerEntry(1, ServerState.GONE)]), ["10.0.0.1:80"])
    report, _ = told.report("core", 3.0, 10_000)
    assert (report.left, report.rows) == ([1], [])
    found.saw(AttemptEnded(1, 0, 1, Outcome.RESET, True, 30.0), [])
    assert told.report("core", 4.0, 10_000)[0].rows == []
    assert 1 not in found.seen and 1 not in told.changed and 1 not in told._totals


def test_a_sketch_tells_quantiles_within_a_tenth_and_sums_are_sketches() -> None:
    rng = Random(2)
    one, other, values = QuantileSketch(), QuantileSketch(), []
    for at in range(4_000):
        value = rng.lognormvariate(3.0, 1.0)
        values.append(value)
        (one if at % 2 else other).add(value)
    values.sort()
    whole = merged([one, other])
    for part in (0.1, 0.5, 0.9, 0.99):
        assert abs(whole.quantile(part) / values[int(part * 4_000)] - 1.0) < 0.12
    copy = QuantileSketch()
    copy.merge(whole.pairs())
    assert copy.counts == whole.counts
    copy.fade(0.5)
    assert abs(copy.total - whole.total / 2.0) < 1.0
    assert QuantileSketch().quantile(0.5) == 0.0
    assert bucket_of(1e12) == BUCKETS - 1 and bucket_of(0.0) == 0
    assert value_of(bucket_of(50.0)) / 50.0 < 1.11
