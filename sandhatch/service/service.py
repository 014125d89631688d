"""The running service: assembly, start, shutdown and operations.

`config.transactions` and `config.version_lifecycle` decide which operations are permitted; `version_changes`
carries them out. Disk writes run on a thread, one state after the other.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.errors import RejectedError, RejectionReason
from sandhatch.config.history import History, StoredState
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
from sandhatch.service.validation import check_data, check_proposed_text, reject_invalid
from sandhatch.service.version_changes import VersionChanges
from sandhatch.service.version_store import VersionStore

TICK_MS = 50.0


class Service:
    """The service of one process. Call `start` first and `drain` at the end.

    Attributes:
        shared: Clock, logger, budgets and in-flight ids.
        lifecycle: The versions and their states, including the change in progress.
        transactions: The proposals, and the rules for changes.
        request_handler: Request handler of all listeners.
        pools: Pools of all running versions.
        forwarding: The link to the planners.
        goodput: Comparison of a new version's goodput with the goodput before.
        changes: Executor of version changes.
        on_request_finished: Callback that is called with each finished request.
        stopping: Whether the process is shutting down.
    """

    def __init__(
        self,
        first: CheckedConfiguration,
        loop: asyncio.AbstractEventLoop,
        history: History | None = None,
        saved: StoredState | None = None,
    ) -> None:
        """Assemble the service around its first version.

        Args:
            first: Configuration of the first version.
            loop: Event loop that runs the service.
            history: State directory; None if versions are not saved.
            saved: Versions that the state directory held at the start; None if it was empty.
        """
        seed = first.model.seed
        self.shared = build_shared_resources(loop, first)
        self.clock = self.shared.clock
        self.logger = self.shared.logger
        self.lifecycle = self._build_lifecycle(first, saved)
        self.transactions = Transactions(self.lifecycle, check_data)
        self.request_handler = RequestHandler(self.shared, seed)
        self.pools = Pools(self.shared)
        self.forwarding = Forwarding(self.shared, seed)
        self.goodput = GoodputMonitor(self.clock, first)
        self._listener_set = ListenerSet(self.shared, self.request_handler)
        self._store = VersionStore(self.shared, self.lifecycle, history, saved)
        self.changes = self._build_version_changes()
        self.request_handler.on_request_received = self.goodput.request_received
        self.request_handler.on_request_finished = self._request_finished
        self.on_request_finished: Callable[[RequestRecord], None] = lambda _record: None
        self.stopping = False

    def _build_lifecycle(self, first: CheckedConfiguration, saved: StoredState | None) -> VersionLifecycle:
        """Build the lifecycle. The first version has the number of the saved confirmed version, if any."""
        number = saved.confirmed if saved else 1
        version = Version(number, 0, first, State.STAGING, made_ms=self.clock.now_ms())
        return VersionLifecycle(version, saved.next_number if saved else 0)

    def _build_version_changes(self) -> VersionChanges:
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
        """The current time in Unix milliseconds."""
        return self.clock.now_ms()

    # ------------------------------------------------ start and shutdown

    async def start(self) -> None:
        """Activate the first version.

        Raises:
            StageError: A listener can't be bound, or a planning key can't be read.
        """
        version = self.lifecycle.active
        running = self.changes.build(version)
        # There is no earlier version to stay with: the first version starts even if no server is reachable.
        for pool in running.pools.values():
            try:
                await wait_until_ready(pool)
            except StageError as problem:
                self.logger.write_line(f"warning: starting with a pool that is not ready: {problem}")
        self.changes.activate(version, first=True)
        self._store.queue_save(0, None)
        self.clock.call_after(TICK_MS, self._tick)

    async def drain(self) -> None:
        """Shut down gracefully: accept for a while, respond to all received requests, then close."""
        self._begin_shutdown()
        self.lifecycle.stop()
        self.changes.execute_actions()
        # Class deadlines don't apply to streamed bodies, so the longest possible request bounds the drain.
        longest_request_ms = max(
            (version.longest_request_ms for version in self.running.values()), default=0.0
        )
        await drain(
            self.clock,
            self._listener_set.active_and_closing,
            lambda: any(version.open_requests for version in self.running.values()),
            longest_request_ms,
        )
        await self.close()

    def _begin_shutdown(self) -> None:
        self.stopping = True
        self._listener_set.stopping = True

    async def close(self) -> None:
        """Close all listeners and connections at once; running requests are aborted."""
        self._begin_shutdown()
        self.forwarding.close()
        self._listener_set.close()
        self.pools.close()
        self.changes.cancel_staging()
        await self._store.close()

    # ------------------------------------------------ operations, called by the control socket and on signals

    def propose(
        self, text: bytes, base: int | None, author: str = "", comment: str = "", merge: bool = False
    ) -> Proposal:
        """Check a configuration's text in full and retain it as a proposal.

        Args:
            text: YAML or JSON text of the configuration.
            base: Number of the version that the configuration was edited from; None for the active version.
            author: Name of the user who proposes the change.
            comment: Reason for the change.
            merge: Whether the proposal may be merged with changes made since its base.

        Raises:
            RejectedError: The text has errors, or the proposal can't be accepted.
        """
        return self.propose_checked(check_proposed_text(text), base, author, comment, merge, len(text))

    def propose_checked(
        self,
        checked: CheckedConfiguration,
        base: int | None,
        author: str = "",
        comment: str = "",
        merge: bool = False,
        size: int = 0,
    ) -> Proposal:
        """Propose a configuration that has been checked; `size` is the size of its text in bytes."""
        number = self.transactions.active.number if base is None else base
        return self.transactions.propose(self.now_ms, number, checked, author, comment, merge, size)

    def commit(self, proposal: int, confirm_within_ms: float | None = None, watched: bool = True) -> Version:
        """Start the change to a proposal's configuration.

        Args:
            proposal: Number of the proposal.
            confirm_within_ms: Time after which the version is rolled back unless it is confirmed; None to
                confirm it automatically.
            watched: Whether the version is rolled back if goodput falls.

        Raises:
            RejectedError: The proposal can't be committed.
        """
        version = self.transactions.commit(self.now_ms, proposal, confirm_within_ms, watched)
        self.changes.execute_actions()
        return version

    def confirm(self, number: int | None = None) -> Version:
        """Confirm the pending version, which must have this number if one is given."""
        version = self.lifecycle.confirm(number)
        self.changes.execute_actions()
        return version

    def extend(self, within_ms: float, number: int | None = None) -> Version:
        """Set the time to confirm the pending version to `within_ms` from now."""
        return self.lifecycle.extend(self.now_ms, within_ms, number)

    def rollback(self, author: str = "", to: int | None = None) -> Version:
        """Roll back the pending version, or commit the content of an earlier version."""
        if to is not None and to not in self.lifecycle.versions:
            return self.commit(self._propose_saved(to, author).number)
        result = self.transactions.rollback(self.now_ms, author, to)
        if isinstance(result, Proposal):
            return self.commit(result.number)
        self.changes.execute_actions()
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
        """Return the configuration of a version.

        Raises:
            RejectedError: No version with this number is in memory.
        """
        version = self.lifecycle.versions.get(number)
        if version is None:
            raise RejectedError(RejectionReason.UNKNOWN, f"there is no version {number}")
        return version.data

    def history_rows(self) -> tuple[HistoryRow, ...]:
        """Return the history of versions, oldest first."""
        return self._store.rows()

    async def wait_until_decided(self, version: Version, until_terminal: bool = False) -> Version:
        """Wait until a version is active or in a terminal state; with `until_terminal`, until terminal."""
        while version.state not in TERMINAL_STATES and (until_terminal or version.state not in RUNNING):
            await self.changes.changed.wait()
        return version

    # ------------------------------------------------ callbacks and the regular tick

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
        self.changes.execute_actions()
        self._listener_set.close_idle_connections()
        if not self.stopping:
            self.clock.call_after(TICK_MS, self._tick)
