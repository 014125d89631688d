"""The clock and its timers: order, cancellation, and removal of cancelled timers from the heap."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from sandhatch.runtime.clock import MIN_COMPACT_SIZE, Clock

WAIT_S = 10.0


def run(scenario: Callable[[Clock], Coroutine[Any, Any, None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(WAIT_S):
            await scenario(Clock(asyncio.get_running_loop()))

    asyncio.run(bounded())


def test_timers_fire_in_order_of_due_time_and_never_early() -> None:
    async def scenario(clock: Clock) -> None:
        fired: list[str] = []
        done = asyncio.Event()
        start_ms = clock.now_ms()

        def fire(name: str, delay_ms: float) -> None:
            assert clock.now_ms() >= start_ms + delay_ms
            fired.append(name)
            if len(fired) == 2:
                done.set()

        clock.call_after(20.0, lambda: fire("late", 20.0))
        clock.call_after(5.0, lambda: fire("early", 5.0))
        await done.wait()
        assert fired == ["early", "late"]

    run(scenario)


def test_cancelled_timer_does_not_fire() -> None:
    async def scenario(clock: Clock) -> None:
        fired: list[str] = []
        done = asyncio.Event()
        clock.call_after(1.0, lambda: fired.append("cancelled")).cancel()
        clock.call_after(5.0, done.set)
        await done.wait()
        assert fired == []

    run(scenario)


def test_cancelled_timers_are_removed_from_the_heap() -> None:
    async def scenario(clock: Clock) -> None:
        for _ in range(3 * MIN_COMPACT_SIZE):
            clock.call_after(60_000.0, lambda: None).cancel()
        assert len(clock._heap) <= MIN_COMPACT_SIZE

    run(scenario)


def test_error_in_a_timer_call_does_not_stop_other_timers() -> None:
    async def scenario(clock: Clock) -> None:
        errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _loop, context: errors.append(context["exception"])
        )
        done = asyncio.Event()

        def fail() -> None:
            raise ValueError("scripted")

        clock.call_after(1.0, fail)
        clock.call_after(2.0, done.set)
        await done.wait()
        assert len(errors) == 1

    run(scenario)


def test_step_of_the_system_time_does_not_affect_the_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(clock: Clock) -> None:
        before_ms = clock.now_ms()
        monkeypatch.setattr("time.time", lambda: 0.0)
        assert before_ms <= clock.now_ms() < before_ms + 1000.0 * WAIT_S

    run(scenario)
