"""The running program under its own configuration: carries out what `Transactions` decides.

Everything here runs on one event loop, so that a version is put in force between two requests: there is no
moment at which some traffic is under one version and some under the next. The disk is written on a thread,
one state after the other.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from sandhatch.config.actions import Action, Apply, Retire, Save, Stage, Unstage, Unwatch, Watch
from sandhatch.config.check import Checked, check, check_text
from sandhatch.config.diff import diff
from sandhatch.config.document import Document
from sandhatch.config.errors import CheckError, Refusal, RejectedError
from sandhatch.config.goodput_watch import GoodputWatch
from sandhatch.config.history import History, Saved
from sandhatch.config.proposals import Proposal
from sandhatch.config.transactions import MOST_RECORDS, Record, Transactions
from sandhatch.config.version import OVER, RUNNING, State, Version
from sandhatch.downstream.listener import Listener
from sandhatch.platform.graceful_shutdown import drain
from sandhatch.runtime.address import parse_address
from sandhatch.runtime.process import grant_descriptors
from sandhatch.runtime.shared import SharedResources
from sandhatch.service.forwarding import Forwarding
from sandhatch.service.pools import Pools, StageError
from sandhatch.service.versions import RequestHandler, RequestRecord, RunningVersion

OWN_DESCRIPTORS = 64  # the process's own: listeners, control, discovery, files
TICK_MS = 50.0
REBIND_MS = 50.0


def check_data(data: dict[str, Any]) -> Checked:
    """Data that did not come from a file; CheckError."""
    return check(Document("configuration", data))


@contextmanager
def refusing() -> Iterator[None]:
    """What a check finds wrong refuses the call that asked for it, with every problem."""
    try:
        yield
    except CheckError as failure:
        errors = [str(problem) for problem in failure.problems]
        raise RejectedError(Refusal.INVALID, f"{len(errors)} problems", problems=errors) from None


def checked_text(text: bytes) -> Checked:
    """Text checked in full; RefusedError."""
    with refusing():
        return check_text(text)


class Service:
    """One process. `start` before anything else, `drain` at the end."""

    def __init__(
        self,
        first: Checked,
        loop: asyncio.AbstractEventLoop,
        history: History | None = None,
        saved: Saved | None = None,
    ) -> None:
        model = first.model
        slowest = max(item.deadline_ms for item in model.classes.values())
        self.shared = SharedResources(
            loop, model.name, model.limits.memory_mb, 2.0 * slowest, self._spare(first)
        )
        self.clock = self.shared.clock
        self.logger = self.shared.logger
        number = saved.confirmed if saved else 1
        version = Version(number, 0, first, State.STAGING, made_ms=self.clock.now_ms())
        self.transactions = Transactions(version, check_data, saved.next_number if saved else 0)
        self.front = RequestHandler(self.shared, model.seed)
        self.front.over = self._over
        self.front.came = self._came
        self.front.freed = self._free
        self.pools = Pools(self.shared)
        self.forwarding = Forwarding(self.shared, model.seed)
        self.watch = self._new_watch(first)
        self.record: Callable[[RequestRecord], None] = lambda record: None
        self.running: dict[int, RunningVersion] = {}
        self.listeners: dict[str, Listener] = {}  # by address, of the version in force
        self._staged_listeners: dict[int, dict[str, Listener]] = {}
        self._leaving: list[Listener] = []
        self._history = history
        self._rows_before = saved.rows if saved else []
        self._saves: deque[tuple[int, Version | None, Record, dict[int, Any]]] = deque()
        self._saver: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._acting = False
        self.changed = asyncio.Event()  # set and replaced whenever a version moves
        self.stopping = False

    @staticmethod
    def _spare(checked: Checked) -> int:
        """The descriptors for callers and servers, within what the system lets this process have."""
        return max(16, grant_descriptors(checked.model.limits.sockets) - OWN_DESCRIPTORS)

    @staticmethod
    def _new_watch(checked: Checked) -> GoodputWatch:
        watch = checked.model.watch
        return GoodputWatch(watch.block_ms, watch.before_ms)

    # -------------------------------------------- start and end

    async def start(self) -> None:
        """Put the first version in force; StageError if that can't be."""
        version = self.transactions.in_force
        running = self._build(version)
        # Nothing stands behind the first version: it starts with what there is, as any start does.
        for pool in running.pools.values():
            try:
                await self.pools.warm(pool)
            except StageError as problem:
                self.logger.line(f"warning: {problem}")
        self._enter(version, first=True)
        self._queue_save(0, None)
        self.clock.after(TICK_MS, self._tick)

    async def drain(self) -> None:
        """Take what still comes for a while, answer what was taken, and end as soon as nothing is owed."""
        self.stopping = True
        self.transactions.stop()
        self._carry_out()
        # Bodies that are passed on as they arrive have no deadline of a class's.
        slowest = max((version.longest_ms for version in self.running.values()), default=0.0)
        await drain(
            self.clock,
            [*self.listeners.values(), *self._leaving],
            lambda: any(version.open for version in self.running.values()),
            slowest,
        )
        await self.close()

    async def close(self) -> None:
        self.stopping = True
        self.forwarding.close()
        for listener in [*self.listeners.values(), *self._leaving]:
            listener.close()
        for staged in self._staged_listeners.values():
            for listener in staged.values():
                listener.close()
        self.pools.close()
        for task in list(self._tasks):
            task.cancel()
        if self._saver is not None:
            await self._saver
        if self._history is not None:
            self._history.close()

    # -------------------------------------------- calls, from the control socket and from signals

    @property
    def now_ms(self) -> float:
        return self.clock.now_ms()

    def propose(
        self, text: bytes, base: int | None, author: str = "", comment: str = "", merge: bool = False
    ) -> Proposal:
        """Check text in full and keep it; RefusedError with every problem where it has errors."""
        return self.propose_checked(checked_text(text), base, author, comment, merge, len(text))

    def propose_checked(
        self,
        checked: Checked,
        base: int | None,
        author: str = "",
        comment: str = "",
        merge: bool = False,
        size: int = 0,
    ) -> Proposal:
        number = self.transactions.in_force.number if base is None else base
        return self.transactions.propose(self.now_ms, number, checked, author, comment, merge, size)

    def commit(self, proposal: int, confirm_within_ms: float | None = None, watched: bool = True) -> Version:
        version = self.transactions.commit(self.now_ms, proposal, confirm_within_ms, watched)
        self._carry_out()
        return version

    def confirm(self, number: int | None = None) -> Version:
        version = self.transactions.confirm(number)
        self._carry_out()
        return version

    def extend(self, within_ms: float, number: int | None = None) -> Version:
        return self.transactions.extend(self.now_ms, within_ms, number)

    def rollback(self, author: str = "", to: int | None = None) -> Version:
        """Take back what is on its way, or set on its way what was in force before."""
        if to is not None and to not in self.transactions.versions:
            return self.commit(self._proposed_from_disk(to, author).number)
        found = self.transactions.rollback(self.now_ms, author, to)
        if isinstance(found, Proposal):
            return self.commit(found.number)
        self._carry_out()
        return found

    def _proposed_from_disk(self, to: int, author: str) -> Proposal:
        confirmed = any(row["version"] == to and row["state"] == "confirmed" for row in self._rows_before)
        data = self._history.content(to) if self._history is not None and confirmed else None
        if data is None:
            raise RejectedError(Refusal.UNKNOWN, f"there is no confirmed version {to}")
        with refusing():
            checked = check_data(data)
        return self.propose_checked(checked, None, author, f"back to version {to}")

    def discard(self, proposal: int) -> None:
        self.transactions.discard(proposal)

    def rows(self) -> list[dict[str, Any]]:
        """The history, oldest first."""
        rows = list(self.transactions.record().versions)
        numbers = {row["version"] for row in rows}
        before = [row for row in self._rows_before if row["version"] not in numbers]
        return sorted([*before, *rows], key=lambda row: int(row["version"]))[-MOST_RECORDS:]

    async def settled(self, version: Version, over: bool = False) -> Version:
        """Wait until a version is in force or has ended; with `over`, until it has ended."""
        while version.state not in OVER and (over or version.state not in RUNNING):
            await self.changed.wait()
        return version

    # -------------------------------------------- actions

    def _carry_out(self) -> None:
        """Carry out what has been decided; what that decides in turn comes behind it."""
        if self._acting:
            return
        self._acting = True
        try:
            while actions := self.transactions.take():
                for action in actions:
                    self._act(action)
        finally:
            self._acting = False
        self.changed.set()
        self.changed = asyncio.Event()

    def _act(self, action: Action) -> None:
        if isinstance(action, Stage):
            self._spawn(self._stage(action.version))
        elif isinstance(action, Unstage):
            self._unstage(action.version)
        elif isinstance(action, Save):
            self._queue_save(action.step, action.version)
        elif isinstance(action, Apply):
            self._enter(action.version)
        elif isinstance(action, Retire):
            running = self.running.get(action.version.number)
            if running is not None:
                self.front.retire(running)
        elif isinstance(action, Watch):
            self._begin_watch(action.version)
        elif isinstance(action, Unwatch):
            if action.version.state is State.TAKEN_BACK:
                self.watch.forget()
            else:
                self.watch.end()
        else:
            self.logger.line(action.text)

    def _spawn(self, work: Any) -> None:
        task = self.shared.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _build(self, version: Version) -> RunningVersion:
        """Pools and bound listeners beside what runs; StageError leaves nothing behind."""
        model = version.checked.model
        self.forwarding.check(model)
        bound: dict[str, Listener] = {}
        for name, spec in model.listeners.items():
            key = _listener_key(name, spec.address)
            if key in self.listeners:
                continue
            listener = Listener(parse_address(spec.address, "address"), self.shared, self.front, name)
            try:
                listener.bind()
            except OSError as problem:
                for other in bound.values():
                    other.close()
                raise StageError(f"listeners.{name}.address: {spec.address}: {problem.strerror}") from None
            bound[key] = listener
        self._staged_listeners[version.number] = bound
        running = RunningVersion(version, self.pools.stage(version.checked))
        self.running[version.number] = running
        return running

    async def _stage(self, version: Version) -> None:
        try:
            running = self._build(version)
            await asyncio.gather(*(self._warm_new(pool) for pool in running.pools.values()))
        except StageError as problem:
            self.transactions.failed(version, str(problem))
        except Exception as problem:
            # Guards what runs: whatever a new version meets while it is built must not stay half built.
            self.transactions.failed(version, f"{type(problem).__name__}: {problem}")
        else:
            self.transactions.staged(version)
        self._carry_out()

    async def _warm_new(self, pool: Any) -> None:
        if not pool.started or not pool.dispatcher.ready:
            await self.pools.warm(pool)

    def _unstage(self, version: Version) -> None:
        for listener in self._staged_listeners.pop(version.number, {}).values():
            listener.close()
        running = self.running.pop(version.number, None)
        if running is not None:
            self.pools.release(running.pools)

    def _free(self, version: RunningVersion) -> None:
        if self.running.get(version.number) is version:
            del self.running[version.number]
            self.pools.release(version.pools)

    # -------------------------------------------- the one instant

    def _enter(self, version: Version, first: bool = False) -> None:
        """From here on every new request is under this version. No step of this waits."""
        running = self.running[version.number]
        before = self.front.current
        running.retired = False
        self._set_limits(version.checked)
        self.pools.enter(running.pools, before.pools if before else {}, self.now_ms, first)
        self.forwarding.enter(version.checked.model, running.pools)
        self.front.current = running
        self._set_listeners(version)

    def _set_limits(self, checked: Checked) -> None:
        """Limits under what is in use bind from the next connection or body on; nothing that runs is cut
        off.
        """
        self.shared.share_descriptors(self._spare(checked))
        self.shared.memory_budget.set_limit(checked.model.limits.memory_mb)
        slowest = max(item.deadline_ms for item in checked.model.classes.values())
        self.shared.in_flight_ids.past_ms = max(self.shared.in_flight_ids.past_ms, 2.0 * slowest)

    def _set_listeners(self, version: Version) -> None:
        staged = self._staged_listeners.pop(version.number, {})
        wanted = {
            _listener_key(name, spec.address): name for name, spec in version.checked.model.listeners.items()
        }
        for key in [key for key in self.listeners if key not in wanted]:
            listener = self.listeners.pop(key)
            listener.closing = True
            listener.stop_accepting()
            listener.end_idle()
            self._leaving.append(listener)
        for key, name in wanted.items():
            kept = self.listeners.get(key)
            if kept is not None:
                kept.name = name
                kept.half_close = version.checked.model.listeners[name].half_close
                continue
            address = version.checked.model.listeners[name].address
            listener = staged.get(key) or Listener(
                parse_address(address, "address"), self.shared, self.front, name
            )
            listener.half_close = version.checked.model.listeners[name].half_close
            self.listeners[key] = listener
            self._open(listener, key)

    def _open(self, listener: Listener, key: str) -> None:
        """Listen. One that a version brings back takes its address anew; should another have it by now, it is
        tried again until it is had or the next version does without.
        """
        if self.listeners.get(key) is not listener or self.stopping:
            return
        try:
            listener.start()
        except OSError as problem:
            self.logger.line(f"listener {listener.name}: {problem.strerror}; it is tried again")
            self.clock.after(REBIND_MS, lambda: self._open(listener, key))

    # -------------------------------------------- the disk

    def _queue_save(self, step: int, version: Version | None) -> None:
        record = self.transactions.record()
        contents = {record.confirmed: self.transactions.versions[record.confirmed].data}
        if version is not None:
            contents[version.number] = version.data
        self._saves.append((step, version, record, contents))
        if self._saver is None or self._saver.done():
            self._saver = self.shared.loop.create_task(self._save_all())

    async def _save_all(self) -> None:
        while self._saves:
            step, _version, record, contents = self._saves.popleft()
            try:
                if self._history is not None:
                    await asyncio.to_thread(
                        self._history.save,
                        record.confirmed,
                        record.pending,
                        record.next_number,
                        self.rows(),
                        contents,
                    )
            except OSError as problem:
                self.logger.line(f"versions can't be saved: {problem.strerror}")
                self.transactions.save_failed(self.now_ms, step, problem.strerror or str(problem))
            else:
                self.transactions.saved(self.now_ms, step)
            self._carry_out()

    # -------------------------------------------- what is seen

    def _begin_watch(self, version: Version) -> None:
        spec = version.checked.model.watch
        changes = diff(self.transactions.confirmed.data, version.data)
        pools = frozenset(change.key[1] for change in changes if change.key[0] == "pools" and change.key[1:])
        only = pools if all(change.key[0] == "pools" for change in changes) else None
        assert version.watch_until_ms is not None
        self.watch.begin(
            self.now_ms, version.watch_until_ms - self.now_ms, spec.significance, spec.least_fall, only
        )

    def _came(self, came_ms: float, name: str, pool: str, version: RunningVersion) -> None:
        self.watch.came(came_ms, name, pool, version.checked.model.classes[name].worth)

    def _over(self, record: RequestRecord, version: RunningVersion) -> None:
        if record.pool:
            item = version.checked.model.classes[record.request_class]
            in_time = record.status == 200 and record.answered_ms <= record.came_ms + item.aim_ms
            self.watch.over(
                record.came_ms,
                record.request_class,
                record.pool,
                item.worth,
                in_time,
                record.status in (429, 503),
            )
        self.record(record)

    def _tick(self) -> None:
        now = self.now_ms
        current = self.front.current
        if current is not None:
            fall = self.watch.close(now, current.longest_aim_ms)
            if fall is not None and self.transactions.pending is not None:
                self.transactions.fell(self.transactions.pending, str(fall))
            self.pools.narrow(current.pools, now)
        self.transactions.tick(now)
        self._carry_out()
        self._leaving = [listener for listener in self._leaving if listener.connections]
        for listener in self._leaving:
            listener.end_idle()
        if not self.stopping:
            self.clock.after(TICK_MS, self._tick)


def _listener_key(name: str, address: str) -> str:
    """Listeners of two versions are the same one if they have the same address; port 0 is any, so there the
    name tells.
    """
    return f"{address} {name}" if address.endswith(":0") else address
