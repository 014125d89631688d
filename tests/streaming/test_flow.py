"""Unit tests of flow control and progress limits, with a manual clock and without event loop or sockets."""

from __future__ import annotations

import tracemalloc
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sandhatch.runtime.flow_statistics import FlowStatistics
from sandhatch.runtime.memory_budget import MemoryBudget, MemoryWaiter
from sandhatch.streaming.flow import Flow, Side, SlowSide
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.interfaces import Piece
from sandhatch.streaming.limits import BodyLimits
from sandhatch.streaming.progress import ProgressLimits, ProgressMonitor

KIB = 1024
UNLIMITED_PROGRESS = ProgressLimits(1e9, 0.0, 1e9)


class ManualClock:
    """Clock that the test advances."""

    def __init__(self) -> None:
        self.current_ms = 0.0

    def now_ms(self) -> float:
        return self.current_ms


class FakeSource:
    def __init__(self) -> None:
        self.paused = False
        self.changes = 0

    def pause(self) -> None:
        self.paused, self.changes = True, self.changes + 1

    def resume(self) -> None:
        self.paused, self.changes = False, self.changes + 1


class FakeSink:
    """Sink that sends `capacity_bytes` immediately; the rest remains unsent until `send`."""

    def __init__(self, capacity_bytes: int = 1 << 60) -> None:
        self.capacity_bytes = capacity_bytes
        self.received = b""
        self.unsent_bytes = 0
        self.end: Headers | None = None

    def write(self, piece: Piece) -> None:
        assert self.end is None
        self.received += bytes(piece)
        sent_bytes = min(self.capacity_bytes, len(piece)) if not self.unsent_bytes else 0
        self.capacity_bytes -= sent_bytes
        self.unsent_bytes += len(piece) - sent_bytes

    def finish(self, trailers: Headers) -> None:
        assert self.end is None
        self.end = trailers

    def send(self, size: int) -> None:
        self.unsent_bytes = max(0, self.unsent_bytes - size)


class RecordingObserver:
    def __init__(self) -> None:
        self.notifications: list[str] = []

    def on_unrepeatable(self) -> None:
        self.notifications.append("unrepeatable")

    def on_sent(self) -> None:
        self.notifications.append("sent")


class FlowFixture:
    def __init__(
        self,
        writer: ProgressLimits = UNLIMITED_PROGRESS,
        reader: ProgressLimits = UNLIMITED_PROGRESS,
        replay_bytes: int = 64 * KIB,
        memory_mb: float = 64.0,
    ) -> None:
        self.clock = ManualClock()
        self.memory_budget = MemoryBudget(memory_mb)
        self.statistics = self.flow_statistics = FlowStatistics()
        self.source = FakeSource()
        self.observer = RecordingObserver()
        limits = BodyLimits(1 << 40, 64 * KIB, replay_bytes, 256 * KIB, writer, reader)
        reserved_bytes = 96 * KIB
        self.memory_budget.update_usage(0, reserved_bytes)
        self.flow = Flow(limits, self, self.source, reserved_bytes)
        self.flow.observe(self.observer)


def test_credit_is_ceiling_minus_memory_and_source_pauses_while_sink_is_behind() -> None:
    fixture = FlowFixture()
    assert fixture.flow.credit_bytes == 256 * KIB
    fixture.flow.push(b"x" * 64 * KIB)
    assert fixture.flow.credit_bytes == 192 * KIB
    assert fixture.source.paused  # the flow has no sink yet
    sink = FakeSink()
    fixture.flow.attach(sink)
    assert not fixture.source.paused
    sink.capacity_bytes = 1000
    fixture.flow.push(b"y" * 100 * KIB)  # more than the replay buffer holds, so that the buffer is released
    assert fixture.observer.notifications == ["unrepeatable"]
    assert fixture.flow.memory_bytes == 100 * KIB - 1000
    assert fixture.source.paused
    sink.send(1 << 20)
    fixture.flow.drained()
    assert not fixture.source.paused
    assert fixture.flow.memory_bytes == 0
    assert fixture.flow.credit_bytes == 256 * KIB
    assert (fixture.statistics.peak_bytes, fixture.statistics.ceiling_exceeded_count) == (100 * KIB - 1000, 0)


def test_replay_buffer_writes_the_complete_body_to_a_second_and_a_third_sink() -> None:
    fixture = FlowFixture()
    fixture.flow.push(b"abc")
    first, second, third = FakeSink(), FakeSink(), FakeSink()
    fixture.flow.attach(first)
    fixture.flow.push(b"def")
    fixture.flow.detach(first)
    fixture.flow.attach(second)
    fixture.flow.end([(b"X", b"1")])
    assert fixture.observer.notifications == ["sent"]
    fixture.flow.detach(second)
    fixture.flow.attach(third)
    assert (first.received, second.received, third.received) == (b"abcdef", b"abcdef", b"abcdef")
    assert first.end is None
    assert second.end == third.end == [(b"X", b"1")]
    assert fixture.observer.notifications == ["sent", "sent"]


def test_observer_is_notified_once_after_the_last_byte_was_sent() -> None:
    fixture = FlowFixture()
    sink = FakeSink(capacity_bytes=2)
    fixture.flow.attach(sink)
    fixture.flow.push(b"abcdef")
    fixture.flow.end([])
    assert fixture.observer.notifications == []
    sink.send(10)
    fixture.flow.drained()
    assert fixture.observer.notifications == ["sent"]
    fixture.flow.drained()
    assert fixture.observer.notifications == ["sent"]


def test_pushed_view_is_copied_if_it_is_needed_after_the_call() -> None:
    fixture = FlowFixture()
    buffer = bytearray(b"abcd")
    fixture.flow.push(memoryview(buffer))
    buffer[:] = b"XXXX"
    sink = FakeSink()
    fixture.flow.attach(sink)
    assert sink.received == b"abcd"


def test_replay_buffer_of_small_pieces_occupies_about_the_counted_bytes() -> None:
    # Guards against a body in small chunks that takes many times the memory which its flow counts.
    fixture = FlowFixture()
    tracemalloc.start()
    try:
        for number in range(64 * KIB):
            fixture.flow.push(b"%d" % (number % 10))
        used_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert fixture.flow.memory_bytes == 64 * KIB
    assert used_bytes < 1.5 * fixture.flow.memory_bytes


def test_credit_is_limited_to_the_reservation_while_memory_is_short() -> None:
    fixture = FlowFixture(memory_mb=0.5)  # memory budget of 128 KiB, of which the flow has 96
    assert fixture.flow.credit_bytes == 128 * KIB
    other = fixture.memory_budget.reserve(120 * KIB, lambda: None)
    assert other is not None  # the second reservation waits for memory
    assert fixture.flow.credit_bytes == 96 * KIB  # free memory goes to the waiting reservation first
    sink = FakeSink(capacity_bytes=0)
    fixture.flow.attach(sink)
    fixture.flow.push(b"x" * 96 * KIB)
    assert fixture.flow.credit_bytes == 0
    assert fixture.source.paused
    sink.send(1 << 20)
    fixture.flow.drained()
    # The credit is the flow's minimum memory for the request plus that for the response.
    assert fixture.flow.credit_bytes == 32 * KIB
    assert not fixture.source.paused


def test_close_releases_all_memory_and_discards_later_input() -> None:
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
    # The bytes that the request's flow leased to the response belong to the response now.
    assert fixture.memory_budget.used_bytes == Flow.MIN_CREDIT_BYTES
    assert fixture.statistics.open == 0
    assert sink.end is None
    assert len(sink.received) == 50 * KIB


STRICT_LIMITS = ProgressLimits(1_000.0, 100.0, 2_000.0)


def test_stalled_source_is_reported_after_its_limit_and_not_before() -> None:
    fixture = FlowFixture(writer=STRICT_LIMITS)
    fixture.flow.attach(FakeSink())
    fixture.clock.current_ms = 999.0
    assert fixture.flow.find_slow_side(fixture.clock.current_ms) is None
    fixture.flow.push(b"x")
    fixture.clock.current_ms = 1_998.0
    assert fixture.flow.find_slow_side(fixture.clock.current_ms) is None
    fixture.clock.current_ms = 1_999.0
    slow_side = fixture.flow.find_slow_side(fixture.clock.current_ms)
    assert slow_side is not None
    assert slow_side.side is Side.SOURCE


def test_time_spent_waiting_for_the_sink_is_not_counted_for_the_source() -> None:
    fixture = FlowFixture(writer=STRICT_LIMITS)
    sink = FakeSink(capacity_bytes=0)
    fixture.flow.attach(sink)
    fixture.flow.push(b"x" * 100)
    fixture.clock.current_ms = 50_000.0
    assert fixture.flow.find_slow_side(fixture.clock.current_ms) is None
    sink.send(100)
    fixture.flow.drained()
    fixture.clock.current_ms = 50_900.0
    assert fixture.flow.find_slow_side(fixture.clock.current_ms) is None
    fixture.clock.current_ms = 51_000.0
    assert fixture.flow.find_slow_side(fixture.clock.current_ms) == SlowSide(
        Side.SOURCE, "no byte for 1000 ms"
    )


def test_stalled_sink_is_reported_and_slow_sink_is_not() -> None:
    fixture = FlowFixture(reader=STRICT_LIMITS)
    sink = FakeSink(capacity_bytes=0)
    fixture.flow.attach(sink)
    fixture.flow.push(b"x" * 100 * KIB)
    for step in range(1, 20):
        fixture.clock.current_ms = step * 500.0
        sink.send(KIB)
        assert fixture.flow.find_slow_side(fixture.clock.current_ms) is None
    fixture.clock.current_ms += 1_000.0
    assert fixture.flow.find_slow_side(fixture.clock.current_ms) == SlowSide(Side.SINK, "no byte for 1000 ms")


def test_source_below_its_minimum_rate_is_reported_even_if_it_was_fast_before() -> None:
    fixture = FlowFixture(writer=STRICT_LIMITS)
    fixture.flow.attach(FakeSink())
    fixture.flow.push(b"x" * 10_000_000)
    slow_side = None
    while slow_side is None and fixture.clock.current_ms < 60_000.0:
        fixture.clock.current_ms += 250.0
        fixture.flow.push(b"x")
        slow_side = fixture.flow.find_slow_side(fixture.clock.current_ms)
    assert slow_side == SlowSide(Side.SOURCE, "4 bytes a second over 2000 ms")
    assert fixture.clock.current_ms == 4_000.0  # end of the 2 s rate window after the fast one


def test_time_without_a_sink_between_two_attempts_is_not_counted() -> None:
    fixture = FlowFixture(writer=STRICT_LIMITS, reader=STRICT_LIMITS)
    sink = FakeSink()
    fixture.flow.attach(sink)
    fixture.flow.push(b"abc")
    fixture.flow.detach(sink)
    fixture.clock.current_ms = 99_000.0
    assert fixture.flow.find_slow_side(fixture.clock.current_ms) is None


def test_waiting_time_is_summed_over_interruptions() -> None:
    monitor = ProgressMonitor(ProgressLimits(1e9, 100.0, 1_000.0))
    monitor.start_waiting(0.0)
    monitor.record_bytes(10, 100.0)
    monitor.stop_waiting(600.0)
    assert monitor.violation(50_000.0) is None
    monitor.start_waiting(60_000.0)
    assert monitor.violation(60_399.0) is None
    assert monitor.violation(60_400.0) == "10 bytes a second over 1000 ms"


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_random_event_order_streams_the_same_bytes_within_the_ceiling(seed: int) -> None:
    """The source sends only what the flow allows; sinks are attached, lag and fail in random order."""
    rng = Random(seed)
    fixture = FlowFixture(memory_mb=rng.choice([0.5, 1.0, 64.0]))
    body = rng.randbytes(rng.choice([0, 10, 70, 300, 900]) * KIB + rng.randrange(5))
    pushed_bytes = 0
    sink: FakeSink | None = None
    flow = fixture.flow
    while not flow.sent:
        choice = rng.randrange(6)
        if choice < 3 and pushed_bytes < len(body) and not fixture.source.paused and flow.credit_bytes:
            piece = body[pushed_bytes : pushed_bytes + rng.randint(1, min(flow.credit_bytes, 64 * KIB))]
            pushed_bytes += len(piece)
            flow.push(memoryview(piece))
        elif pushed_bytes == len(body) and not flow.ended and choice == 3:
            flow.end([])
        elif sink is None:
            sink = FakeSink(rng.choice([0, 5_000, 1 << 30]))
            flow.attach(sink)
        elif choice == 4:
            sink.send(rng.randrange(100 * KIB))
            sink.capacity_bytes = rng.randrange(100 * KIB)
            if not sink.unsent_bytes:
                flow.drained()
        elif choice == 5 and flow.is_repeatable and not flow.sent and rng.random() < 0.2:
            flow.detach(sink)
            sink = None
        assert flow.memory_bytes <= flow.limits.ceiling_bytes
        if flow.ended and sink is not None and not sink.unsent_bytes:
            flow.drained()
    assert sink is not None
    assert sink.received == body
    assert fixture.statistics.ceiling_exceeded_count == 0
    assert fixture.observer.notifications.count("unrepeatable") == (not flow.is_repeatable)
    flow.close()
    assert fixture.memory_budget.used_bytes == 0


def test_memory_waiters_are_granted_in_order_of_arrival() -> None:
    memory_budget = MemoryBudget(1.0)
    granted: list[str] = []
    assert memory_budget.reserve(200 * KIB, lambda: granted.append("never")) is None
    waiters: dict[str, MemoryWaiter | None] = {}
    for name, size in (("large", 200 * KIB), ("small", 10 * KIB), ("cancelled", 10 * KIB), ("last", KIB)):
        waiters[name] = memory_budget.reserve(size, lambda name=name: granted.append(name))  # type: ignore[misc]
    assert granted == []
    assert memory_budget.free_bytes == 0
    cancelled_waiter = waiters["cancelled"]
    assert cancelled_waiter is not None
    cancelled_waiter.cancel()
    memory_budget.update_usage(200 * KIB, 0)
    assert granted == ["large", "small", "last"]
    assert memory_budget.used_bytes == 211 * KIB
    cancelled_waiter.cancel()
    assert memory_budget.used_bytes == 211 * KIB


@pytest.mark.parametrize("new_limit_mb", [0.1, 10.0])
def test_new_memory_limit_grants_the_waiters_that_fit(new_limit_mb: float) -> None:
    memory_budget = MemoryBudget(0.001)
    granted: list[int] = []
    assert memory_budget.reserve(KIB * 100, lambda: granted.append(1)) is not None
    memory_budget.set_limit(new_limit_mb)
    assert granted == ([1] if new_limit_mb > 1 else [])


@pytest.mark.parametrize(
    ("program_mb", "expected_mb"), [(0.0, 16.0), (32.0, 16.0), (44.0, 10.0), (63.0, 1.0), (70.0, 1.0)]
)
def test_budget_is_at_most_half_of_what_the_program_leaves(program_mb: float, expected_mb: float) -> None:
    memory_budget = MemoryBudget(64.0)
    memory_budget.set_limit(64.0, program_mb)
    assert memory_budget.limit_bytes == expected_mb * 1024 * KIB
