"""Executes the actions of the version lifecycle: versions are staged, activated, retired and saved.

All of this runs on one event loop, so that a version is activated between two requests: at no time do new
requests go partly to one version and partly to the next. `config.version_lifecycle` decides which actions
follow and in which order.
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
        changed: Event that is set, and replaced by a new one, whenever a version's state may have changed.
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
        """Connect the parts of the service; no action is executed yet."""
        self._shared = shared
        self._lifecycle = lifecycle
        self._request_handler = request_handler
        self._pools = pools
        self._listeners = listeners
        self._forwarding = forwarding
        self._store = store
        self._goodput = goodput
        self._staging_tasks: set[asyncio.Task[None]] = set()
        self._executing_actions = False
        self.running: dict[int, RunningVersion] = {}
        self.changed = asyncio.Event()
        request_handler.on_version_freed = self._free
        store.on_saved = self.execute_actions

    def execute_actions(self) -> None:
        """Execute the lifecycle's pending actions, then the actions that result from these."""
        if self._executing_actions:
            return
        self._executing_actions = True
        try:
            while actions := self._lifecycle.take_actions():
                for action in actions:
                    self._execute(action)
        finally:
            self._executing_actions = False
        self.changed.set()
        self.changed = asyncio.Event()

    def _execute(self, action: Action) -> None:
        match action:
            case Stage(version=version):
                self._start_task(self._stage(version))
            case DiscardStaged(version=version):
                self._unstage(version)
            case Save(save_number=save_number, version=saved_version):
                self._store.queue_save(save_number, saved_version)
            case Apply(version=version):
                self.activate(version)
            case Retire(version=version):
                self._retire(version)
            case Watch(version=version):
                self._goodput.begin(version, self._lifecycle.confirmed)
            case EndWatch(version=version):
                self._end_watch(version)
            case LogMessage(text=text):
                self._shared.logger.write_line(text)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._shared.loop.create_task(work)
        self._staging_tasks.add(task)
        task.add_done_callback(self._staging_tasks.discard)

    def cancel_staging(self) -> None:
        """Cancel the versions' staging (preparation) in progress."""
        for task in list(self._staging_tasks):
            task.cancel()

    # ------------------------------------------------ staging

    def build(self, version: Version) -> RunningVersion:
        """Build a version's pools and bind its listeners beside the active version's.

        Raises:
            StageError: A key can't be read or a listener can't be bound; nothing has been built then.
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
            self._lifecycle.staging_failed(version, str(problem))
        except Exception as problem:
            # An unexpected error must not leave the version half built nor stop the running service.
            self._lifecycle.staging_failed(version, f"{type(problem).__name__}: {problem}")
        else:
            self._lifecycle.staged(version)
        self.execute_actions()

    def _unstage(self, version: Version) -> None:
        self._listeners.unstage(version)
        running = self.running.pop(version.number, None)
        if running is not None:
            self._pools.release(running.pools)

    # ------------------------------------------------ activating

    def activate(self, version: Version, first: bool = False) -> None:
        """Make a version the one that every new request belongs to. No step waits.

        Args:
            version: Version that has been built.
            first: Whether the version is the first one of the process.
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
            self._goodput.watch.discard()
        else:
            self._goodput.watch.end()


async def _wait_unless_ready(pool: RunningPool) -> None:
    if not pool.started or not pool.dispatcher.has_ready_server:
        await wait_until_ready(pool)
