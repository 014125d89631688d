"""The coalescing runner: requests during a run are coalesced into one more run."""

from __future__ import annotations

import asyncio

from sandhatch.runtime.coalescing_runner import CoalescingRunner


class ScriptedWork:
    """Work whose runs end once the test sets `release`; asserts that runs do not overlap."""

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


async def run_pending_tasks() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


def test_triggers_during_a_run_cause_exactly_one_more_run() -> None:
    async def scenario() -> None:
        scripted = ScriptedWork()
        runner = CoalescingRunner(scripted)
        runner.trigger()
        await run_pending_tasks()
        for _ in range(5):
            runner.trigger()
        await run_pending_tasks()
        assert scripted.started == 1
        scripted.release.set()
        await run_pending_tasks()
        assert scripted.started == 2
        assert scripted.running == 0

    asyncio.run(scenario())


def test_trigger_after_the_last_run_starts_another_run() -> None:
    async def scenario() -> None:
        scripted = ScriptedWork()
        scripted.release.set()
        runner = CoalescingRunner(scripted)
        for expected in (1, 2):
            runner.trigger()
            await run_pending_tasks()
            assert scripted.started == expected

    asyncio.run(scenario())
