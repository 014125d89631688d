"""The running program under its own configuration: assembly, start, shutdown and calls.

What a call may do is decided in `config.transactions` and `config.version_lifecycle`, and carried out in
`version_changes`. The disk is written on a thread, one state after the other.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.errors import RejectedError, RejectionReason
from sandhatch.config.history import History, Saved
from sandhatch.config.history_record import HistoryRow
from sandhatch.config.proposals import Proposal
from sandhatch.config.transactions import Transactions
from sandhatch.config.version import RUNNING, TERMINAL_STATES, State, Version
from sandhatch.config.version_lifecycle import VersionLifecycle
from sandhatch.downstream.listener import Listener
from sandhatch.platform.graceful_shutdown import drain
from sandhatch.service.errors import StageError
from sandhatch.service.forwarding import Forwarding
from sandhatch.service.goodput_monitor import GoodputMonitor
from sandhatch.service.limits import build_shared_resources
from sandhatch.service.listeners import ListenerSet
from sandhatch.service.pools import Pools
from sandhatch.service.readiness import wait_until_ready
from sandhatch.service.request_handler import RequestHandler
from sandhatch.service.request_record import RequestRecord
from sandhatch.service.running_version import RunningVersion
from sandhatch.service.validation import check_data, checked_text, reject_invalid
from sandhatch.service.version_changes import VersionChanges
from sandhatch.service.version_store import VersionStore

TICK_MS = 50.0


class Service:
    """One process. `start` before anything else, `drain` at the end.

    Attributes:
        shared: Clock, logger, budgets and in-flight ids.
        lifecycle: The versions, and what becomes of the one in progress.
        transactions: The proposals, and what may be done with them.
        request_handler: Request handler of all listeners.
        pools: Pools of all versions that run.
        forwarding: The link to the planners.
        goodput: Comparison of a new version's goodput with that before.
        changes: Carries out changes of the version.
        on_request_finished: Called with each finished request.
        stopping: Whether the process ends.
    """

    def __init__(
        self,
        first: CheckedConfiguration,
        loop: asyncio.AbstractEventLoop,
        history: History | None = None,
        saved: Saved | None = None,
    ) -> None:
        """Assemble the service around its first version.

        Args:
            first: The configuration to start with.
            loop: The event loop that runs everything.
            history: The state directory; None if versions are not saved.
            saved: What the state directory held, None if nothing.
        """
        seed = first.model.seed
        self.shared = build_shared_resources(loop, first)
        self.clock = self.shared.clock
        self.logger = self.shared.logger
        self.lifecycle = self._first_lifecycle(first, saved)
        self.transactions = Transactions(self.lifecycle, check_data)
        self.request_handler = RequestHandler(self.shared, seed)
        self.pools = Pools(self.shared)
        self.forwarding = Forwarding(self.shared, seed)
        self.goodput = GoodputMonitor(self.clock, first)
        self._listener_set = ListenerSet(self.shared, self.request_handler)
        self._store = VersionStore(self.shared, self.lifecycle, history, saved)
        self.changes = self._version_changes()
        self.request_handler.on_request_received = self.goodput.request_received
        self.request_handler.on_request_finished = self._request_finished
        self.on_request_finished: Callable[[RequestRecord], None] = lambda _record: None
        self.stopping = False

    def _first_lifecycle(self, first: CheckedConfiguration, saved: Saved | None) -> VersionLifecycle:
        """The first version has the number of the saved one that it continues, if there is one."""
        number = saved.confirmed if saved else 1
        version = Version(number, 0, first, State.STAGING, made_ms=self.clock.now_ms())
        return VersionLifecycle(version, saved.next_number if saved else 0)

    def _version_changes(self) -> VersionChanges:
        return VersionChanges(
            self.shared,
            self.lifecycle,
            self.request_handler,
            self.pools,
            self._listener_set,
            self.forwarding,
            self._store,
            self.goodput,
        )

    @property
    def running(self) -> dict[int, RunningVersion]:
        """Versions that are staged, active or still have requests, by number."""
        return self.changes.running

    @property
    def listeners(self) -> dict[str, Listener]:
        """Listeners of the active version, by address (with port 0, by address and name)."""
        return self._listener_set.active

    @property
    def now_ms(self) -> float:
        """Unix milliseconds."""
        return self.clock.now_ms()

    # ------------------------------------------------ start and end

    async def start(self) -> None:
        """Activate the first version.

        Raises:
            StageError: Its listeners can't be bound, or its keys can't be read.
        """
        version = self.lifecycle.active
        running = self.changes.build(version)
        # There is no earlier version to stay with: the first one starts with the servers that there are.
        for pool in running.pools.values():
            try:
                await wait_until_ready(pool)
            except StageError as problem:
                self.logger.line(f"warning: {problem}")
        self.changes.activate(version, first=True)
        self._store.queue_save(0, None)
        self.clock.call_after(TICK_MS, self._tick)

    async def drain(self) -> None:
        """Shut down gracefully: accept for a while, answer what was received, then close."""
        self._begin_shutdown()
        self.lifecycle.stop()
        self.changes.carry_out()
        # Bodies that are streamed have no deadline of a class's, so the longest request counts.
        longest_request_ms = max(
            (version.longest_request_ms for version in self.running.values()), default=0.0
        )
        await drain(
            self.clock,
            self._listener_set.active_and_closing,
            lambda: any(version.open for version in self.running.values()),
            longest_request_ms,
        )
        await self.close()

    def _begin_shutdown(self) -> None:
        self.stopping = True
        self._listener_set.stopping = True

    async def close(self) -> None:
        """Close everything at once; requests that run are aborted."""
        self._begin_shutdown()
        self.forwarding.close()
        self._listener_set.close()
        self.pools.close()
        self.changes.cancel_staging()
        await self._store.close()

    # ------------------------------------------------ calls, from the control socket and from signals

    def propose(
        self, text: bytes, base: int | None, author: str = "", comment: str = "", merge: bool = False
    ) -> Proposal:
        """Check text in full and keep it as a proposal.

        Args:
            text: The configuration.
            base: Number of the version that it was made from; None for the active one.
            author: Who proposes it.
            comment: Why.
            merge: Whether it may be merged with changes since its base.

        Raises:
            RejectedError: The text has errors, or the proposal can't be taken.
        """
        return self.propose_checked(checked_text(text), base, author, comment, merge, len(text))

    def propose_checked(
        self,
        checked: CheckedConfiguration,
        base: int | None,
        author: str = "",
        comment: str = "",
        merge: bool = False,
        size: int = 0,
    ) -> Proposal:
        """As `propose`, of a configuration that has been checked; `size` is that of its text in bytes."""
        number = self.transactions.active.number if base is None else base
        return self.transactions.propose(self.now_ms, number, checked, author, comment, merge, size)

    def commit(self, proposal: int, confirm_within_ms: float | None = None, watched: bool = True) -> Version:
        """Begin to change to a proposal; RejectedError if that can't be.

        Args:
            proposal: Its number.
            confirm_within_ms: Roll back unless it is confirmed within this time; None to confirm by itself.
            watched: Whether it is rolled back if goodput falls.
        """
        version = self.transactions.commit(self.now_ms, proposal, confirm_within_ms, watched)
        self.changes.carry_out()
        return version

    def confirm(self, number: int | None = None) -> Version:
        """Confirm the pending version, which must have this number if one is given."""
        version = self.lifecycle.confirm(number)
        self.changes.carry_out()
        return version

    def extend(self, within_ms: float, number: int | None = None) -> Version:
        """Give the pending version this much time from now on to be confirmed."""
        return self.lifecycle.extend(self.now_ms, within_ms, number)

    def rollback(self, author: str = "", to: int | None = None) -> Version:
        """Roll back the pending version, or commit the content of an earlier one."""
        if to is not None and to not in self.lifecycle.versions:
            return self.commit(self._propose_saved(to, author).number)
        result = self.transactions.rollback(self.now_ms, author, to)
        if isinstance(result, Proposal):
            return self.commit(result.number)
        self.changes.carry_out()
        return result

    def _propose_saved(self, number: int, author: str) -> Proposal:
        data = self._store.confirmed_content(number)
        if data is None:
            raise RejectedError(RejectionReason.UNKNOWN, f"there is no confirmed version {number}")
        with reject_invalid():
            checked = check_data(data)
        return self.propose_checked(checked, None, author, f"back to version {number}")

    def discard(self, proposal: int) -> None:
        """Discard a proposal by its number."""
        self.transactions.discard(proposal)

    def version_data(self, number: int) -> dict[str, Any]:
        """The configuration of a version.

        Raises:
            RejectedError: There is no such version in memory.
        """
        version = self.lifecycle.versions.get(number)
        if version is None:
            raise RejectedError(RejectionReason.UNKNOWN, f"there is no version {number}")
        return version.data

    def history_rows(self) -> tuple[HistoryRow, ...]:
        """The history of versions, oldest first."""
        return self._store.rows()

    async def wait_until_decided(self, version: Version, over: bool = False) -> Version:
        """Wait until a version is active or has ended; with `over`, until it has ended."""
        while version.state not in TERMINAL_STATES and (over or version.state not in RUNNING):
            await self.changes.changed.wait()
        return version

    # ------------------------------------------------ while it runs

    def _request_finished(self, record: RequestRecord, version: RunningVersion) -> None:
        self.goodput.request_finished(record, version)
        self.on_request_finished(record)

    def _tick(self) -> None:
        now_ms = self.now_ms
        current = self.request_handler.current
        if current is not None:
            drop = self.goodput.check(now_ms, current.longest_objective_ms)
            if drop is not None and self.lifecycle.pending is not None:
                self.lifecycle.goodput_dropped(self.lifecycle.pending, str(drop))
            self.pools.withdraw_unlisted(current.pools, now_ms)
        self.lifecycle.tick(now_ms)
        self.changes.carry_out()
        self._listener_set.end_idle()
        if not self.stopping:
            self.clock.call_after(TICK_MS, self._tick)
