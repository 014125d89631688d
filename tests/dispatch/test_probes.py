"""Tests probes and the load reports in their responses."""

from __future__ import annotations

from sandhatch.balancing.actions import Probe
from sandhatch.balancing.events import Outcome, ProbeEnded
from testkit.behaviours import never_responds
from testkit.servers import FakeConnection, serve_ok
from testkit.wire import ReceivedRequest, ok
from tests.event_loop import run
from tests.fakes import ScriptedBalancer, loopback

UNKNOWN_SERVER = 77


async def reports_load(request: ReceivedRequest, connection: FakeConnection) -> None:
    assert request.target == "/status/load"
    await connection.send(ok(b"TEXT inflight=7, queue=2, util=0.61"))


def test_probe_delivers_the_load_report_and_its_timeout_delivers_none() -> None:
    """Guards against report values in an order other than the settings', and against use of late reports."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        stats = {"How": "on_probe", "Fields": ["queue", "inflight"]}
        async with loopback(reports_load, never_responds, clients=0, script=script, stats=stats) as network:
            for server in (1, 2, UNKNOWN_SERVER):
                network.balancer.dispatcher._execute(Probe(server))
            ends = [await script.next_event(ProbeEnded) for _ in range(3)]
        assert {end.server: (end.outcome, tuple(end.report)) for end in ends} == {
            1: (Outcome.OK, (2.0, 7.0)),
            2: (Outcome.TIMEOUT, ()),
            UNKNOWN_SERVER: (Outcome.CONNECT_FAILED, ()),
        }

    run(scenario())


def test_probe_timeout_includes_the_connect_timeout() -> None:
    """Guards against a probe that times out while its connection may still be established."""

    async def scenario() -> None:
        stats = {"How": "on_probe", "Fields": ["queue"]}
        limits = {"ConnectTimeoutMs": 700}
        script = ScriptedBalancer([1])
        async with loopback(serve_ok, clients=0, script=script, stats=stats, limits=limits) as network:
            timeouts_ms: list[float] = []
            network.pool.start = lambda _attempt, timeout_ms: timeouts_ms.append(timeout_ms)  # type: ignore[method-assign]
            network.balancer.dispatcher._execute(Probe(1))
            assert timeouts_ms == [750.0]

    run(scenario())
