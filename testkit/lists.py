"""Discovery in simulated time, for `testkit.tier`: one service that takes its calls in turn, with faults."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from sandhatch.balancing.events import ListKind, ListUpdate

if TYPE_CHECKING:
    from testkit.tier import SimForwarder, SimServer, Tier


class SimDiscovery:
    """Each call takes `call_ms` of the service, and fails when it has waited for `patience_ms`.

    A subscription hears of changes `notice_ms` later, until it falls silent: then it hears nothing more, and
    is not told so.
    """

    def __init__(self, tier: Tier, call_ms: float, notice_ms: float, patience_ms: float = 3_000.0) -> None:
        self._tier = tier
        self._call_ms, self._notice_ms, self._patience_ms = call_ms, notice_ms, patience_ms
        self.up = True
        self.calls_ms: list[float] = []  # when each came
        self.notified_ms: dict[
            int, float
        ] = {}  # by copy, when it last had the whole of what there is to tell
        self._queue: deque[tuple[SimForwarder, float]] = deque()
        self._busy = False
        self._version = 0
        self._changed: dict[int, int] = {}  # by server, the version that changed it last
        self._held: dict[int, int] = {}  # by copy, the version that it holds
        self._heard_by: dict[int, SimForwarder] = {}  # subscriptions that bring something

    def change(self, servers: list[SimServer]) -> None:
        self._version += 1
        for server in servers:
            self._changed[server.number] = self._version
        for copy in list(self._heard_by.values()):
            self._tier.after(self._notice_ms, lambda copy=copy: self._tell(copy))  # type: ignore[misc]

    def fall_silent(self) -> None:
        self._heard_by.clear()

    def ask(self, copy: SimForwarder) -> None:
        self.calls_ms.append(self._tier.now)
        self._heard_by.pop(copy.number, None)
        if not self.up:
            self._tier.after(1.0, lambda: self._fail(copy))
            return
        self._queue.append((copy, self._tier.now))
        self._serve()

    def _serve(self) -> None:
        if self._busy or not self._queue:
            return
        copy, came = self._queue.popleft()
        if self._tier.now - came > self._patience_ms:
            self._fail(copy)
            self._serve()
            return
        self._busy = True

        def served() -> None:
            self._busy = False
            if self.up:
                self._heard_by[copy.number] = copy
                self._tell(copy)
            else:
                self._fail(copy)
            self._serve()

        self._tier.after(self._call_ms, served)

    @staticmethod
    def _fail(copy: SimForwarder) -> None:
        copy.on_endpoint_list(ListUpdate(ListKind.FAILED))

    def _tell(self, copy: SimForwarder) -> None:
        if copy.number not in self._heard_by:
            return
        held = self._held.get(copy.number, 0)
        self._held[copy.number] = self._version
        self.notified_ms[copy.number] = self._tier.now
        rows = [self._tier.servers[n].entry() for n, version in self._changed.items() if version > held]
        if rows:
            copy.on_endpoint_list(ListUpdate(ListKind.DELTA, self._version, rows))
