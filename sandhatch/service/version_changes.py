"""Carries out what the lifecycle of versions decides: versions are staged, activated, retired and saved.

Everything here runs on one event loop, so that a version is activated between two requests: there is no
moment at which some traffic is under one version and some under the next. What may happen, and in which
order, is decided in `config.version_lifecycle`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from sandhatch.config.actions import (
    Action,
    Apply,
    DiscardStaged,
    EndWatch,
    LogMessage,
    Retire,
    Save,
    Stage,
    Watch,
)
from sandhatch.config.version import State, Version
from sandhatch.config.version_lifecycle import VersionLifecycle
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.service.errors import StageError
from sandhatch.service.forwarding import Forwarding
from sandhatch.service.goodput_monitor import GoodputMonitor
from sandhatch.service.limits import apply_limits
from sandhatch.service.listeners import ListenerSet
from sandhatch.service.pools import Pools
from sandhatch.service.readiness import wait_until_ready
from sandhatch.service.request_handler import RequestHandler
from sandhatch.service.running_pool import RunningPool
from sandhatch.service.running_version import RunningVersion
from sandhatch.service.version_store import VersionStore


class VersionChanges:
    """Executes the actions of the lifecycle on the parts of a service.

    Attributes:
        running: Versions that are staged, active or still have requests, by number.
        changed: Set, and replaced by a new event, whenever a version's state changes.
    """

    def __init__(
        self,
        shared: SharedResources,
        lifecycle: VersionLifecycle,
        request_handler: RequestHandler,
        pools: Pools,
        listeners: ListenerSet,
        forwarding: Forwarding,
        store: VersionStore,
        goodput: GoodputMonitor,
    ) -> None:
        """Connect the parts; nothing is carried out yet."""
        self._shared = shared
        self._lifecycle = lifecycle
        self._request_handler = request_handler
        self._pools = pools
        self._listeners = listeners
        self._forwarding = forwarding
        self._store = store
        self._goodput = goodput
        self._staging_tasks: set[asyncio.Task[None]] = set()
        self._carrying_out = False
        self.running: dict[int, RunningVersion] = {}
        self.changed = asyncio.Event()
        request_handler.on_version_freed = self._free
        store.on_saved = self.carry_out

    def carry_out(self) -> None:
        """Carry out what has been decided; decisions that result from that come after it."""
        if self._carrying_out:
            return
        self._carrying_out = True
        try:
            while actions := self._lifecycle.take_actions():
                for action in actions:
                    self._execute(action)
        finally:
            self._carrying_out = False
        self.changed.set()
        self.changed = asyncio.Event()

    def _execute(self, action: Action) -> None:
        match action:
            case Stage(version=version):
                self._start_task(self._stage(version))
            case DiscardStaged(version=version):
                self._unstage(version)
            case Save(step=step, version=saved_version):
                self._store.queue_save(step, saved_version)
            case Apply(version=version):
                self.activate(version)
            case Retire(version=version):
                self._retire(version)
            case Watch(version=version):
                self._goodput.begin(version, self._lifecycle.confirmed)
            case EndWatch(version=version):
                self._end_watch(version)
            case LogMessage(text=text):
                self._shared.logger.line(text)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._shared.loop.create_task(work)
        self._staging_tasks.add(task)
        task.add_done_callback(self._staging_tasks.discard)

    def cancel_staging(self) -> None:
        """Stop waiting for pools of versions that are being staged."""
        for task in list(self._staging_tasks):
            task.cancel()

    # ------------------------------------------------ staging

    def build(self, version: Version) -> RunningVersion:
        """Build pools and bind listeners beside what runs.

        Raises:
            StageError: Something is missing; nothing is left behind then.
        """
        self._forwarding.check(version.checked.model)
        self._listeners.stage(version)
        running = RunningVersion(version, self._pools.stage(version.checked))
        self.running[version.number] = running
        return running

    async def _stage(self, version: Version) -> None:
        try:
            running = self.build(version)
            await asyncio.gather(*(_wait_unless_ready(pool) for pool in running.pools.values()))
        except StageError as problem:
            self._lifecycle.failed(version, str(problem))
        except Exception as problem:
            # Guards what runs: whatever error a new version meets, it must not stay half built.
            self._lifecycle.failed(version, f"{type(problem).__name__}: {problem}")
        else:
            self._lifecycle.staged(version)
        self.carry_out()

    def _unstage(self, version: Version) -> None:
        self._listeners.unstage(version)
        running = self.running.pop(version.number, None)
        if running is not None:
            self._pools.release(running.pools)

    # ------------------------------------------------ activating

    def activate(self, version: Version, first: bool = False) -> None:
        """From here on every new request is under this version. No step of this waits.

        Args:
            version: A version that has been built.
            first: Whether it is the first version of the process.
        """
        running = self.running[version.number]
        previous = self._request_handler.current
        running.retired = False
        apply_limits(self._shared, version.checked)
        self._pools.activate(
            running.pools, previous.pools if previous else {}, self._shared.clock.now_ms(), first
        )
        self._forwarding.activate(version.checked.model, running.pools)
        self._request_handler.current = running
        self._listeners.activate(version)

    def _retire(self, version: Version) -> None:
        running = self.running.get(version.number)
        if running is not None:
            self._request_handler.retire(running)

    def _free(self, version: RunningVersion) -> None:
        if self.running.get(version.number) is version:
            del self.running[version.number]
            self._pools.release(version.pools)

    def _end_watch(self, version: Version) -> None:
        if version.state is State.ROLLED_BACK:
            self._goodput.watch.forget()
        else:
            self._goodput.watch.end()


async def _wait_unless_ready(pool: RunningPool) -> None:
    if not pool.started or not pool.dispatcher.ready:
        await wait_until_ready(pool)
