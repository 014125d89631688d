"""Flow control and progress limits, driven by hand: no event loop, no socket, and a manual clock."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sandhatch.runtime.flow_statistics import FlowStatistics
from sandhatch.runtime.memory_budget import MemoryBudget, MemoryWaiter
from sandhatch.streaming.flow import Flow, Side, SlowSide
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.interfaces import Piece
from sandhatch.streaming.progress import ProgressLimits, ProgressMonitor
from sandhatch.streaming.terms import BodyTerms

KIB = 1024
PATIENT = ProgressLimits(1e9, 0.0, 1e9)


class ManualClock:
    """A clock moved by hand."""

    def __init__(self) -> None:
        self.now = 0.0

    def now_ms(self) -> float:
        return self.now


class FakeSource:
    def __init__(self) -> None:
        self.paused = False
        self.changes = 0

    def pause(self) -> None:
        self.paused, self.changes = True, self.changes + 1

    def resume(self) -> None:
        self.paused, self.changes = False, self.changes + 1


class FakeSink:
    """Takes `capacity_bytes` at once; the rest stays unsent until `take`."""

    def __init__(self, capacity_bytes: int = 1 << 60) -> None:
        self.capacity_bytes = capacity_bytes
        self.received = b""
        self.unsent = 0
        self.end: Headers | None = None

    def write(self, piece: Piece) -> None:
        assert self.end is None
        self.received += bytes(piece)
        taken = min(self.capacity_bytes, len(piece)) if not self.unsent else 0
        self.capacity_bytes -= taken
        self.unsent += len(piece) - taken

    def finish(self, trailers: Headers) -> None:
        assert self.end is None
        self.end = trailers

    def take(self, size: int) -> None:
        self.unsent = max(0, self.unsent - size)


class RecordingWatcher:
    def __init__(self) -> None:
        self.notifications: list[str] = []

    def on_unrepeatable(self) -> None:
        self.notifications.append("unrepeatable")

    def on_sent(self) -> None:
        self.notifications.append("passed_on")


class FlowFixture:
    def __init__(
        self,
        writer: ProgressLimits = PATIENT,
        reader: ProgressLimits = PATIENT,
        replay: int = 64 * KIB,
        memory_mb: float = 64.0,
    ) -> None:
        self.clock = ManualClock()
        self.memory_budget = MemoryBudget(memory_mb)
        self.flow_statistics = self.flows = FlowStatistics()
        self.source = FakeSource()
        self.watcher = RecordingWatcher()
        terms = BodyTerms(1 << 40, 64 * KIB, replay, 256 * KIB, writer, reader)
        reserve = 96 * KIB
        self.memory_budget.update_usage(0, reserve)
        self.flow = Flow(terms, self, self.source, reserve)
        self.flow.observe(self.watcher)


def test_credit_is_what_the_ceiling_leaves_and_the_source_pauses_while_the_sink_is_behind() -> None:
    fixture = FlowFixture()
    assert fixture.flow.credit == 256 * KIB
    fixture.flow.push(b"x" * 64 * KIB)
    assert fixture.flow.credit == 192 * KIB
    assert fixture.source.paused  # it has no sink yet
    sink = FakeSink()
    fixture.flow.attach(sink)
    assert not fixture.source.paused
    sink.capacity_bytes = 1000
    fixture.flow.push(b"y" * 100 * KIB)  # more than the replay buffer, which is released
    assert fixture.watcher.notifications == ["unrepeatable"]
    assert fixture.flow.memory_bytes == 100 * KIB - 1000
    assert fixture.source.paused
    sink.take(1 << 20)
    fixture.flow.drained()
    assert not fixture.source.paused
    assert fixture.flow.memory_bytes == 0
    assert fixture.flow.credit == 256 * KIB
    assert (fixture.flow_statistics.peak_bytes, fixture.flow_statistics.over) == (100 * KIB - 1000, 0)


def test_the_replay_buffer_gives_the_complete_body_to_a_second_and_a_third_sink() -> None:
    fixture = FlowFixture()
    fixture.flow.push(b"abc")
    first, second, third = FakeSink(), FakeSink(), FakeSink()
    fixture.flow.attach(first)
    fixture.flow.push(b"def")
    fixture.flow.detach(first)
    fixture.flow.attach(second)
    fixture.flow.end([(b"X", b"1")])
    assert fixture.watcher.notifications == ["passed_on"]
    fixture.flow.detach(second)
    fixture.flow.attach(third)
    assert (first.received, second.received, third.received) == (b"abcdef", b"abcdef", b"abcdef")
    assert first.end is None
    assert second.end == third.end == [(b"X", b"1")]
    assert fixture.watcher.notifications == ["passed_on", "passed_on"]


def test_the_watcher_is_notified_of_the_end_once_the_last_byte_was_sent() -> None:
    fixture = FlowFixture()
    sink = FakeSink(capacity_bytes=2)
    fixture.flow.attach(sink)
    fixture.flow.push(b"abcdef")
    fixture.flow.end([])
    assert fixture.watcher.notifications == []
    sink.take(10)
    fixture.flow.drained()
    assert fixture.watcher.notifications == ["passed_on"]
    fixture.flow.drained()
    assert fixture.watcher.notifications == ["passed_on"]


def test_a_view_is_copied_where_it_must_outlast_the_call() -> None:
    fixture = FlowFixture()
    buffer = bytearray(b"abcd")
    fixture.flow.push(memoryview(buffer))
    buffer[:] = b"XXXX"
    sink = FakeSink()
    fixture.flow.attach(sink)
    assert sink.received == b"abcd"


def test_a_flow_keeps_its_reserved_credit_and_no_more_while_memory_is_short() -> None:
    fixture = FlowFixture(memory_mb=0.5)  # 128 KiB, of which it has booked 96
    assert fixture.flow.credit == 128 * KIB
    other = fixture.memory_budget.reserve(120 * KIB, lambda: None)
    assert other is not None  # it waits
    assert fixture.flow.credit == 96 * KIB  # and nothing goes to others before it
    sink = FakeSink(capacity_bytes=0)
    fixture.flow.attach(sink)
    fixture.flow.push(b"x" * 96 * KIB)
    assert fixture.flow.credit == 0
    assert fixture.source.paused
    sink.take(1 << 20)
    fixture.flow.drained()
    assert fixture.flow.credit == 32 * KIB  # its own part and the one for the answer
    assert not fixture.source.paused


def test_close_releases_all_memory_and_discards_what_still_comes() -> None:
    fixture = FlowFixture()
    sink = FakeSink(capacity_bytes=0)
    fixture.flow.push(b"x" * 50 * KIB)
    fixture.flow.attach(sink)
    assert fixture.flow.lease_to_response() == Flow.MIN_CREDIT_BYTES
    fixture.flow.close()
    fixture.flow.close()
    fixture.flow.push(b"more")
    fixture.flow.end([])
    fixture.flow.drained()
    assert (
        fixture.memory_budget.used_bytes == Flow.MIN_CREDIT_BYTES
    )  # what was handed over is the answer's now
    assert fixture.flow_statistics.open == 0
    assert sink.end is None
    assert len(sink.received) == 50 * KIB


STRICT = ProgressLimits(1_000.0, 100.0, 2_000.0)


def test_a_stalled_source_is_reported_after_its_limit_and_not_before() -> None:
    fixture = FlowFixture(writer=STRICT)
    fixture.flow.attach(FakeSink())
    fixture.clock.now = 999.0
    assert fixture.flow.slow_side(fixture.clock.now) is None
    fixture.flow.push(b"x")
    fixture.clock.now = 1_998.0
    assert fixture.flow.slow_side(fixture.clock.now) is None
    fixture.clock.now = 1_999.0
    found = fixture.flow.slow_side(fixture.clock.now)
    assert found is not None
    assert found.side is Side.SOURCE


def test_time_spent_waiting_for_the_sink_is_not_counted_for_the_source() -> None:
    fixture = FlowFixture(writer=STRICT)
    sink = FakeSink(capacity_bytes=0)
    fixture.flow.attach(sink)
    fixture.flow.push(b"x" * 100)
    fixture.clock.now = 50_000.0
    assert fixture.flow.slow_side(fixture.clock.now) is None
    sink.take(100)
    fixture.flow.drained()
    fixture.clock.now = 50_900.0
    assert fixture.flow.slow_side(fixture.clock.now) is None
    fixture.clock.now = 51_000.0
    assert fixture.flow.slow_side(fixture.clock.now) == SlowSide(Side.SOURCE, "no byte for 1000 ms")


def test_a_stalled_sink_is_reported_and_a_slow_one_is_not() -> None:
    fixture = FlowFixture(reader=STRICT)
    sink = FakeSink(capacity_bytes=0)
    fixture.flow.attach(sink)
    fixture.flow.push(b"x" * 100 * KIB)
    for step in range(1, 20):
        fixture.clock.now = step * 500.0
        sink.take(KIB)
        assert fixture.flow.slow_side(fixture.clock.now) is None
    fixture.clock.now += 1_000.0
    assert fixture.flow.slow_side(fixture.clock.now) == SlowSide(Side.SINK, "no byte for 1000 ms")


def test_a_trickle_is_reported_by_its_rate_however_fast_it_was_before() -> None:
    fixture = FlowFixture(writer=STRICT)
    fixture.flow.attach(FakeSink())
    fixture.flow.push(b"x" * 10_000_000)
    found = None
    while found is None and fixture.clock.now < 60_000.0:
        fixture.clock.now += 250.0
        fixture.flow.push(b"x")
        found = fixture.flow.slow_side(fixture.clock.now)
    assert found == SlowSide(Side.SOURCE, "4 bytes a second over 2000 ms")
    assert fixture.clock.now == 4_000.0  # the window that began after the fast one


def test_no_time_is_counted_between_two_attempts() -> None:
    fixture = FlowFixture(writer=STRICT, reader=STRICT)
    sink = FakeSink()
    fixture.flow.attach(sink)
    fixture.flow.push(b"abc")
    fixture.flow.detach(sink)
    fixture.clock.now = 99_000.0
    assert fixture.flow.slow_side(fixture.clock.now) is None


def test_waiting_time_adds_up_over_interruptions() -> None:
    progress = ProgressMonitor(ProgressLimits(1e9, 100.0, 1_000.0))
    progress.start_waiting(0.0)
    progress.record_bytes(10, 100.0)
    progress.stop_waiting(600.0)
    assert progress.violation(50_000.0) is None
    progress.start_waiting(60_000.0)
    assert progress.violation(60_399.0) is None
    assert progress.violation(60_400.0) == "10 bytes a second over 1000 ms"


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_any_order_of_events_streams_the_same_bytes_within_the_ceiling(seed: int) -> None:
    """A source that keeps to its credit, sinks that come, lag and break, in any order."""
    rng = Random(seed)
    fixture = FlowFixture(memory_mb=rng.choice([0.5, 1.0, 64.0]))
    body = rng.randbytes(rng.choice([0, 10, 70, 300, 900]) * KIB + rng.randrange(5))
    sent = 0
    sink: FakeSink | None = None
    flow = fixture.flow
    while not flow.sent:
        turn = rng.randrange(6)
        if turn < 3 and sent < len(body) and not fixture.source.paused and flow.credit:
            piece = body[sent : sent + rng.randint(1, min(flow.credit, 64 * KIB))]
            sent += len(piece)
            flow.push(memoryview(piece))
        elif sent == len(body) and not flow.ended and turn == 3:
            flow.end([])
        elif sink is None:
            sink = FakeSink(rng.choice([0, 5_000, 1 << 30]))
            flow.attach(sink)
        elif turn == 4:
            sink.take(rng.randrange(100 * KIB))
            sink.capacity_bytes = rng.randrange(100 * KIB)
            if not sink.unsent:
                flow.drained()
        elif turn == 5 and flow.repeatable and not flow.sent and rng.random() < 0.2:
            flow.detach(sink)
            sink = None
        assert flow.memory_bytes <= flow.terms.ceiling_bytes
        if flow.ended and sink is not None and not sink.unsent:
            flow.drained()
    assert sink is not None
    assert sink.received == body
    assert fixture.flow_statistics.over == 0
    assert fixture.watcher.notifications.count("unrepeatable") == (not flow.repeatable)
    flow.close()
    assert fixture.memory_budget.used_bytes == 0


def test_memory_waiters_are_served_in_order_of_arrival() -> None:
    memory_budget = MemoryBudget(1.0)
    served: list[str] = []
    assert memory_budget.reserve(200 * KIB, lambda: served.append("never")) is None
    waiters: dict[str, MemoryWaiter | None] = {}
    for name, size in (("large", 200 * KIB), ("small", 10 * KIB), ("leaver", 10 * KIB), ("last", KIB)):
        waiters[name] = memory_budget.reserve(size, lambda name=name: served.append(name))  # type: ignore[misc]
    assert served == []
    assert memory_budget.free == 0
    leaver = waiters["leaver"]
    assert leaver is not None
    leaver.cancel()
    memory_budget.update_usage(200 * KIB, 0)
    assert served == ["large", "small", "last"]
    assert memory_budget.used_bytes == 211 * KIB
    leaver.cancel()
    assert memory_budget.used_bytes == 211 * KIB


@pytest.mark.parametrize("lower", [0.1, 10.0])
def test_a_new_memory_limit_serves_the_waiters_that_fit(lower: float) -> None:
    memory_budget = MemoryBudget(0.001)
    served: list[int] = []
    assert memory_budget.reserve(KIB * 100, lambda: served.append(1)) is not None
    memory_budget.set_limit(lower)
    assert served == ([1] if lower > 1 else [])
