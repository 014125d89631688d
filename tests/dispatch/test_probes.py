"""Probes and the load reports that they bring."""

from __future__ import annotations

import asyncio

from sandhatch.balancing.actions import Probe
from sandhatch.balancing.events import Outcome, ProbeEnded
from testkit.servers import FakeConnection, FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S, ReceivedRequest, ok
from tests.event_loop import run
from tests.fakes import ScriptedBalancer, running
from tests.upstream.behaviours import stays_silent


def test_probe_reads_the_load_report() -> None:
    """Guards probes: the report's values come in the settings' order, and a late one does not count."""

    async def work() -> None:
        async def answers_with_report(request: ReceivedRequest, talk: FakeConnection) -> None:
            assert request.target == "/status/load"
            await talk.send(ok(b"TEXT inflight=7, queue=2, util=0.61"))

        upstream = await FakeServer(answers_with_report).start()
        silent = await FakeServer(stays_silent).start()
        script = ScriptedBalancer([1])
        stats = {"How": "on_probe", "Fields": ["queue", "inflight"]}
        async with running(upstream.entry("a"), silent.entry("b"), script=script, stats=stats) as balancer:
            for server in (1, 2, 77):
                balancer.dispatcher._act(Probe(server))
            ends = {}
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while len(ends) < 3:
                    event = await script.told.get()
                    if isinstance(event, ProbeEnded):
                        ends[event.server] = (event.outcome, tuple(event.report))
        upstream.close()
        silent.close()
        assert ends == {
            1: (Outcome.OK, (2.0, 7.0)),
            2: (Outcome.TIMEOUT, ()),
            77: (Outcome.CONNECT_FAILED, ()),
        }

    run(work())


def test_probe_timeout_includes_the_connect_timeout() -> None:
    """Guards sites with slow handshakes: a probe on a new connection must not end before that may be up."""

    async def work() -> None:
        upstream = await FakeServer().start()
        stats = {"How": "on_probe", "Fields": ["queue"]}
        limits = {"ConnectTimeoutMs": 700}
        async with running(
            upstream.entry("a"), script=ScriptedBalancer([1]), stats=stats, limits=limits
        ) as balancer:
            timeouts_ms: list[float] = []
            pool = balancer.dispatcher.connection_pool
            pool.start = lambda attempt, timeout_ms: timeouts_ms.append(timeout_ms)  # type: ignore[method-assign]
            balancer.dispatcher._act(Probe(1))
            assert timeouts_ms == [750.0]
        upstream.close()

    run(work())
