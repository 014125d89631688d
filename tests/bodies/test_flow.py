"""The flow and the pace, driven by hand: no loop, no socket, and a clock that stands still until told."""

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


class Hands:
    """A clock moved by hand."""

    def __init__(self) -> None:
        self.now = 0.0

    def now_ms(self) -> float:
        return self.now


class FakeSource:
    def __init__(self) -> None:
        self.paused = False
        self.turns = 0

    def pause(self) -> None:
        self.paused, self.turns = True, self.turns + 1

    def resume(self) -> None:
        self.paused, self.turns = False, self.turns + 1


class FakeSink:
    """Takes `memory_budget` bytes at once; the rest stays unsent until `let`."""

    def __init__(self, memory_budget: int = 1 << 60) -> None:
        self.memory_budget = memory_budget
        self.got = b""
        self.unsent = 0
        self.end: Headers | None = None

    def write(self, piece: Piece) -> None:
        assert self.end is None
        self.got += bytes(piece)
        taken = min(self.memory_budget, len(piece)) if not self.unsent else 0
        self.memory_budget -= taken
        self.unsent += len(piece) - taken

    def finish(self, trailers: Headers) -> None:
        assert self.end is None
        self.end = trailers

    def let(self, size: int) -> None:
        self.unsent = max(0, self.unsent - size)


class Heard:
    def __init__(self) -> None:
        self.said: list[str] = []

    def unrepeatable(self) -> None:
        self.said.append("unrepeatable")

    def passed_on(self) -> None:
        self.said.append("passed_on")


class Rig:
    def __init__(
        self,
        writer: ProgressLimits = PATIENT,
        reader: ProgressLimits = PATIENT,
        replay: int = 64 * KIB,
        memory_mb: float = 64.0,
    ) -> None:
        self.clock = Hands()
        self.memory_budget = MemoryBudget(memory_mb)
        self.account = FlowStatistics()
        self.source = FakeSource()
        self.heard = Heard()
        terms = BodyTerms(1 << 40, 64 * KIB, replay, 256 * KIB, writer, reader)
        reserve = 96 * KIB
        self.memory_budget.book(0, reserve)
        self.flow = Flow(terms, self.clock, self.memory_budget, self.account, self.source, reserve)
        self.flow.watch(self.heard)


def test_credit_is_what_the_ceiling_leaves_and_the_source_rests_while_the_sink_is_behind() -> None:
    rig = Rig()
    assert rig.flow.credit == 256 * KIB
    rig.flow.push(b"x" * 64 * KIB)
    assert rig.flow.credit == 192 * KIB
    assert rig.source.paused  # nobody to pass it on to
    sink = FakeSink()
    rig.flow.attach(sink)
    assert not rig.source.paused
    sink.memory_budget = 1000
    rig.flow.push(b"y" * 100 * KIB)  # past the replay buffer: what was kept is let go
    assert rig.heard.said == ["unrepeatable"]
    assert rig.flow.held == 100 * KIB - 1000
    assert rig.source.paused
    sink.let(1 << 20)
    rig.flow.drained()
    assert not rig.source.paused
    assert rig.flow.held == 0 and rig.flow.credit == 256 * KIB
    assert (rig.account.peak_bytes, rig.account.over) == (100 * KIB - 1000, 0)


def test_a_second_sink_is_given_all_of_it_and_a_third_too_while_it_is_kept() -> None:
    rig = Rig()
    rig.flow.push(b"abc")
    first, second, third = FakeSink(), FakeSink(), FakeSink()
    rig.flow.attach(first)
    rig.flow.push(b"def")
    rig.flow.detach(first)
    rig.flow.attach(second)
    rig.flow.end([(b"X", b"1")])
    assert rig.heard.said == ["passed_on"]
    rig.flow.detach(second)
    rig.flow.attach(third)
    assert (first.got, second.got, third.got) == (b"abcdef", b"abcdef", b"abcdef")
    assert first.end is None and second.end == third.end == [(b"X", b"1")]
    assert rig.heard.said == ["passed_on", "passed_on"]


def test_the_end_is_passed_on_when_the_last_byte_has_left() -> None:
    rig = Rig()
    sink = FakeSink(memory_budget=2)
    rig.flow.attach(sink)
    rig.flow.push(b"abcdef")
    rig.flow.end([])
    assert rig.heard.said == []
    sink.let(10)
    rig.flow.drained()
    assert rig.heard.said == ["passed_on"]
    rig.flow.drained()
    assert rig.heard.said == ["passed_on"]


def test_a_view_is_copied_where_it_must_outlast_the_call() -> None:
    rig = Rig()
    buffer = bytearray(b"abcd")
    rig.flow.push(memoryview(buffer))
    buffer[:] = b"XXXX"
    sink = FakeSink()
    rig.flow.attach(sink)
    assert sink.got == b"abcd"


def test_memory_short_leaves_the_begun_what_they_were_promised_and_no_more() -> None:
    rig = Rig(memory_mb=0.5)  # 128 KiB, of which it has booked 96
    assert rig.flow.credit == 128 * KIB
    other = rig.memory_budget.reserve(120 * KIB, lambda: None)
    assert other is not None  # has to wait
    assert rig.flow.credit == 96 * KIB  # and nothing goes to others before it
    sink = FakeSink(memory_budget=0)
    rig.flow.attach(sink)
    rig.flow.push(b"x" * 96 * KIB)
    assert rig.flow.credit == 0 and rig.source.paused
    sink.let(1 << 20)
    rig.flow.drained()
    assert rig.flow.credit == 32 * KIB  # its own part and the one for the answer
    assert not rig.source.paused


def test_closing_gives_all_memory_back_and_drops_what_still_comes() -> None:
    rig = Rig()
    sink = FakeSink(memory_budget=0)
    rig.flow.push(b"x" * 50 * KIB)
    rig.flow.attach(sink)
    assert rig.flow.lend() == Flow.LEAST
    rig.flow.close()
    rig.flow.close()
    rig.flow.push(b"more")
    rig.flow.end([])
    rig.flow.drained()
    assert rig.memory_budget.used == Flow.LEAST  # what was lent is the answer's now
    assert rig.account.open == 0
    assert sink.end is None and len(sink.got) == 50 * KIB


STRICT = ProgressLimits(1_000.0, 100.0, 2_000.0)


def test_a_stalled_source_is_found_after_its_time_and_not_before() -> None:
    rig = Rig(writer=STRICT)
    rig.flow.attach(FakeSink())
    rig.clock.now = 999.0
    assert rig.flow.too_slow(rig.clock.now) is None
    rig.flow.push(b"x")
    rig.clock.now = 1_998.0
    assert rig.flow.too_slow(rig.clock.now) is None
    rig.clock.now = 1_999.0
    found = rig.flow.too_slow(rig.clock.now)
    assert found is not None and found.side is Side.SOURCE


def test_a_source_is_not_blamed_for_the_time_of_a_sink_that_is_behind() -> None:
    rig = Rig(writer=STRICT)
    sink = FakeSink(memory_budget=0)
    rig.flow.attach(sink)
    rig.flow.push(b"x" * 100)
    rig.clock.now = 50_000.0
    assert rig.flow.too_slow(rig.clock.now) is None
    sink.let(100)
    rig.flow.drained()
    rig.clock.now = 50_900.0
    assert rig.flow.too_slow(rig.clock.now) is None
    rig.clock.now = 51_000.0
    assert rig.flow.too_slow(rig.clock.now) == SlowSide(Side.SOURCE, "no byte for 1000 ms")


def test_a_sink_that_takes_nothing_is_found_and_one_that_takes_a_little_is_not() -> None:
    rig = Rig(reader=STRICT)
    sink = FakeSink(memory_budget=0)
    rig.flow.attach(sink)
    rig.flow.push(b"x" * 100 * KIB)
    for step in range(1, 20):
        rig.clock.now = step * 500.0
        sink.let(KIB)
        assert rig.flow.too_slow(rig.clock.now) is None
    rig.clock.now += 1_000.0
    assert rig.flow.too_slow(rig.clock.now) == SlowSide(Side.SINK, "no byte for 1000 ms")


def test_a_trickle_is_found_by_its_rate_however_fast_it_was_before() -> None:
    rig = Rig(writer=STRICT)
    rig.flow.attach(FakeSink())
    rig.flow.push(b"x" * 10_000_000)
    found = None
    while found is None and rig.clock.now < 60_000.0:
        rig.clock.now += 250.0
        rig.flow.push(b"x")
        found = rig.flow.too_slow(rig.clock.now)
    assert found == SlowSide(Side.SOURCE, "4 bytes a second over 2000 ms")
    assert rig.clock.now == 4_000.0  # the window that began after the fast one


def test_between_two_attempts_nobody_is_waited_for() -> None:
    rig = Rig(writer=STRICT, reader=STRICT)
    sink = FakeSink()
    rig.flow.attach(sink)
    rig.flow.push(b"abc")
    rig.flow.detach(sink)
    rig.clock.now = 99_000.0
    assert rig.flow.too_slow(rig.clock.now) is None


def test_waited_time_counts_over_rests() -> None:
    pace = ProgressMonitor(ProgressLimits(1e9, 100.0, 1_000.0))
    pace.start_waiting(0.0)
    pace.record_bytes(10, 100.0)
    pace.stop_waiting(600.0)
    assert pace.violation(50_000.0) is None
    pace.start_waiting(60_000.0)
    assert pace.violation(60_399.0) is None
    assert pace.violation(60_400.0) == "10 bytes a second over 1000 ms"


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_any_order_of_events_passes_the_same_bytes_on_within_the_ceiling(seed: int) -> None:
    """A source that keeps to its credit, sinks that come, lag and break, in any order."""
    rng = Random(seed)
    rig = Rig(memory_mb=rng.choice([0.5, 1.0, 64.0]))
    body = rng.randbytes(rng.choice([0, 10, 70, 300, 900]) * KIB + rng.randrange(5))
    sent = 0
    sink: FakeSink | None = None
    flow = rig.flow
    while not flow.done:
        turn = rng.randrange(6)
        if turn < 3 and sent < len(body) and not rig.source.paused and flow.credit:
            piece = body[sent : sent + rng.randint(1, min(flow.credit, 64 * KIB))]
            sent += len(piece)
            flow.push(memoryview(piece))
        elif sent == len(body) and not flow.ended and turn == 3:
            flow.end([])
        elif sink is None:
            sink = FakeSink(rng.choice([0, 5_000, 1 << 30]))
            flow.attach(sink)
        elif turn == 4:
            sink.let(rng.randrange(100 * KIB))
            sink.memory_budget = rng.randrange(100 * KIB)
            if not sink.unsent:
                flow.drained()
        elif turn == 5 and flow.repeatable and not flow.done and rng.random() < 0.2:
            flow.detach(sink)
            sink = None
        assert flow.held <= flow.terms.ceiling_bytes
        if flow.ended and sink is not None and not sink.unsent:
            flow.drained()
    assert sink is not None and sink.got == body
    assert rig.account.over == 0
    assert rig.heard.said.count("unrepeatable") == (not flow.repeatable)
    flow.close()
    assert rig.memory_budget.used == 0


def test_who_waits_for_room_is_served_in_the_order_of_coming() -> None:
    memory_budget = MemoryBudget(1.0)
    served: list[str] = []
    assert memory_budget.reserve(200 * KIB, lambda: served.append("never")) is None
    places: dict[str, MemoryWaiter | None] = {}
    for name, size in (("large", 200 * KIB), ("small", 10 * KIB), ("gone", 10 * KIB), ("last", KIB)):
        places[name] = memory_budget.reserve(size, lambda name=name: served.append(name))  # type: ignore[misc]
    assert served == [] and memory_budget.free == 0  # the small one does not overtake
    gone = places["gone"]
    assert gone is not None
    gone.leave()
    memory_budget.book(200 * KIB, 0)
    assert served == ["large", "small", "last"]
    assert memory_budget.used == 211 * KIB
    gone.leave()
    assert memory_budget.used == 211 * KIB


@pytest.mark.parametrize("lower", [0.1, 10.0])
def test_a_new_limit_serves_those_who_fit_it(lower: float) -> None:
    memory_budget = MemoryBudget(0.001)
    served: list[int] = []
    assert memory_budget.reserve(KIB * 100, lambda: served.append(1)) is not None
    memory_budget.set_limit(lower)
    assert served == ([1] if lower > 1 else [])
