"""Requests for work while it runs are coalesced into one more run."""

from __future__ import annotations

import asyncio

from sandhatch.runtime.coalescing_runner import CoalescingRunner


class ScriptedWork:
    """Work whose runs end when the test says so."""

    def __init__(self) -> None:
        self.started = 0
        self.running = 0
        self.release = asyncio.Event()

    async def __call__(self) -> None:
        self.started += 1
        self.running += 1
        assert self.running == 1
        await self.release.wait()
        self.running -= 1


async def let_tasks_run() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


def test_triggers_during_a_run_cause_exactly_one_more() -> None:
    async def work() -> None:
        scripted = ScriptedWork()
        runner = CoalescingRunner(scripted)
        runner.trigger()
        await let_tasks_run()
        for _ in range(5):
            runner.trigger()
        await let_tasks_run()
        assert scripted.started == 1
        scripted.release.set()
        await let_tasks_run()
        assert scripted.started == 2
        assert scripted.running == 0

    asyncio.run(work())


def test_a_trigger_after_the_last_run_starts_another() -> None:
    async def work() -> None:
        scripted = ScriptedWork()
        scripted.release.set()
        runner = CoalescingRunner(scripted)
        for expected in (1, 2):
            runner.trigger()
            await let_tasks_run()
            assert scripted.started == expected

    asyncio.run(work())
