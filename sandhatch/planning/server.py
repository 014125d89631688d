"""The planner's process: connections of forwarders around the machine `Planner`.

Bounded in connections, in the time of a handshake, in frames and bytes a second of each forwarder, and in
what waits to be read by it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any, cast

from sandhatch.planning.keys import Identity
from sandhatch.planning.messages import Bye, Hello, Report
from sandhatch.planning.planner import Planner, PlannerTerms
from sandhatch.planning.session import Budget, EpochOverError, Established, PlannerSession, SessionError
from sandhatch.runtime.address import Address
from sandhatch.runtime.clock import Clock

TICK_MS = 100.0
HANDSHAKE_MS = 5_000.0
LEAVE_MS = 2_000.0
SILENT_MS = 30_000.0  # without a report, until a session ends
MOST_UNSENT = 1 << 20
FRAMES_PER_S, BURST_S = 20.0, 5.0


class _Peer(asyncio.Protocol):
    """One forwarder's connection."""

    def __init__(self, server: PlannerServer) -> None:
        self._server = server
        self.session = PlannerSession(server.identity, server.planner.name, server.planner.epoch)
        self.name = ""
        now = server.clock.now_ms()
        self.heard_ms = now
        self._budget = Budget(FRAMES_PER_S, server.bytes_per_s, BURST_S, now)
        self._transport: asyncio.Transport | None = None
        self._deadline = server.clock.after(HANDSHAKE_MS, self._late)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if not self._server.enter(self):
            self.leave(f"{self._server.most_peers} connections are there already")

    def _late(self) -> None:
        if not self.name:
            self.leave("no handshake in time")

    def data_received(self, data: bytes) -> None:
        now = self._server.clock.now_ms()
        self._server.bytes_in += len(data)
        try:
            for event, size in self.session.feed(data):
                if not self._budget.take(size, now):
                    raise SessionError("more messages than a forwarder may send")
                if isinstance(event, Established):
                    self._deadline.cancel()
                    self.name, self.heard_ms = event.peer, now
                    self._server.known(self)
                elif isinstance(event, Report):
                    self.heard_ms = now
                    self._report(event, now)
                elif isinstance(event, Bye):
                    self.close()
                elif not isinstance(event, Hello):
                    raise SessionError(f"a {type(event).__name__} from a forwarder")
                if self._transport is None:
                    return
        except EpochOverError as over:
            self._flush()
            self._server.begin_anew(over.knows + 1)
        except SessionError as problem:
            self._server.rejected(self, str(problem))
            self.leave(str(problem))
        self._flush()

    def _report(self, report: Report, now: float) -> None:
        try:
            advice = self._server.planner.report(self.name, report, now)
        except ValueError as problem:
            raise SessionError(str(problem)) from None
        if self._transport is not None and self._transport.get_write_buffer_size() > MOST_UNSENT:
            raise SessionError("it does not read")
        self._server.bytes_out += self.session.send(advice)

    def _flush(self) -> None:
        if self._transport is not None and self.session.out:
            self._transport.write(self.session.take_out())

    def leave(self, why: str) -> None:
        """Say why, and close."""
        self.session.bye(why)
        self._flush()
        self.close()

    def close(self) -> None:
        self._deadline.cancel()
        transport, self._transport = self._transport, None
        self._server.exit(self)
        if transport is not None:
            transport.close()
            self._server.clock.after(LEAVE_MS, transport.abort)  # should it not read what is left

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._deadline.cancel()
        self._server.exit(self)


class PlannerServer:
    """`bytes_per_s` bounds each forwarder. `epoch` of None is the system's time in milliseconds: a later life
    has a later one, and if the system's time was put back, forwarders say so.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        identity: Identity,
        clock: Clock,
        log: Callable[[str], None],
        terms: PlannerTerms | None = None,
        bytes_per_s: float = 262_144.0,
        most_peers: int = 10_000,
        epoch: int | None = None,
    ) -> None:
        self.identity = identity
        self.clock = clock
        self.most_peers = most_peers
        self.bytes_per_s = bytes_per_s
        self._log = log
        self._address = address
        self._terms = terms or PlannerTerms()
        began = int(time.time() * 1000.0) if epoch is None else epoch
        self.planner = Planner(name, began, clock.now_ms(), self._terms)
        self._peers: dict[_Peer, None] = {}
        self._by_name: dict[str, _Peer] = {}
        self._server: asyncio.Server | None = None
        self._stopped = False
        self.turned_away = 0
        self.bytes_in = self.bytes_out = 0

    async def start(self) -> None:
        """OSError if the address can't be had."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Peer(self), *self._address, backlog=1024)
        self._tick()

    @property
    def port(self) -> int:
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        self._stopped = True
        if self._server is not None:
            self._server.close()
        for peer in list(self._peers):
            peer.leave("the planner stops")

    def begin_anew(self, epoch: int) -> None:
        """Another life, above an epoch that a forwarder knows of: nothing of this one counts."""
        self._log(f"epoch {epoch}: a forwarder knows of one after {self.planner.epoch}; all begins anew")
        self.planner = Planner(self.planner.name, epoch, self.clock.now_ms(), self._terms)
        for peer in list(self._peers):
            peer.leave("the planner begins anew")

    # ------------------------------------------------ peers

    def enter(self, peer: _Peer) -> bool:
        if len(self._peers) >= self.most_peers:
            return False
        self._peers[peer] = None
        return True

    def known(self, peer: _Peer) -> None:
        """It has proven its name; a connection that it had before is over."""
        before = self._by_name.get(peer.name)
        self._by_name[peer.name] = peer
        if before is not None:
            before.leave("another connection has come in its place")
        self.planner.joined(peer.name, self.clock.now_ms())

    def exit(self, peer: _Peer) -> None:
        self._peers.pop(peer, None)
        if self._by_name.get(peer.name) is peer:
            del self._by_name[peer.name]

    def rejected(self, peer: _Peer, why: str) -> None:
        self.turned_away += 1
        self._log(f"forwarder {peer.name or '-'}: {why}")

    def _tick(self) -> None:
        if self._stopped:
            return
        now = self.clock.now_ms()
        self.planner.tick(now)
        for peer in [peer for peer in self._peers if peer.name and now - peer.heard_ms > SILENT_MS]:
            peer.leave("no report for too long")
        self.clock.after(TICK_MS, self._tick)

    # ------------------------------------------------ for people

    def status(self) -> dict[str, Any]:
        found = self.planner.status(self.clock.now_ms())
        found["connections"] = len(self._peers)
        found["turned_away"] = self.turned_away
        found["bytes_in"], found["bytes_out"] = self.bytes_in, self.bytes_out
        return found
