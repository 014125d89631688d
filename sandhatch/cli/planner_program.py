"""The process of a planner: its server, control socket, signals, end.

Runs until a signal ends it. What it advises is `sandhatch.planning`; this module translates the keys of its
configuration (docs/operators/planning.md) into that package's terms.
"""

from __future__ import annotations

import asyncio
from typing import Any

from sandhatch.cli.console import Console, ExitCode
from sandhatch.config.planner import PlannerConfig
from sandhatch.control.errors import ControlError, FaultReason
from sandhatch.control.framing import fault
from sandhatch.control.server import ControlServer
from sandhatch.planning.errors import BadKeyError
from sandhatch.planning.keys import identity
from sandhatch.planning.server import PlannerServer
from sandhatch.planning.terms import PlannerTerms
from sandhatch.runtime.address import parse_address
from sandhatch.runtime.clock import Clock
from sandhatch.runtime.logger import Logger, report_loop_errors
from sandhatch.runtime.process import freeze_garbage_collector, raise_descriptor_limit, shutdown_event

OWN_DESCRIPTORS = 64  # not for forwarders: log, control socket, event loop
LAST_MESSAGES_S = 0.05  # for what is written at the end to be sent


async def serve(config: PlannerConfig, control_path: str, console: Console) -> int:
    """Run the planner until a signal ends the process; return the exit code.

    Args:
        config: The planner's configuration.
        control_path: The path of its control socket.
        console: Where errors are reported.
    """
    loop = asyncio.get_running_loop()
    stopping = shutdown_event(loop)
    logger = Logger(config.name)
    report_loop_errors(loop, logger)
    try:
        server = _server(config, Clock(loop), logger)
        await server.start()
        control = ControlServer(PlannerCalls(server), logger, control_path)
        await control.start()
    except (BadKeyError, ControlError, OSError) as problem:
        console.error(problem)
        return ExitCode.FAILED
    freeze_garbage_collector()
    host, _ = parse_address(config.listen, "listen")
    logger.line(f"planner {config.name} at {host}:{server.port}; control at {control_path}")
    await stopping.wait()
    await control.stop()
    server.stop()
    await asyncio.sleep(LAST_MESSAGES_S)
    return ExitCode.OK


def _server(config: PlannerConfig, clock: Clock, logger: Logger) -> PlannerServer:
    descriptors = raise_descriptor_limit(config.most_forwarders + OWN_DESCRIPTORS)
    return PlannerServer(
        config.name,
        parse_address(config.listen, "listen"),
        identity(config.shared_key_file, config.private_key_file, config.forwarders),
        clock,
        logger.line,
        _terms(config),
        config.bytes_per_s,
        min(config.most_forwarders, descriptors - OWN_DESCRIPTORS),
    )


def _terms(config: PlannerConfig) -> PlannerTerms:
    return PlannerTerms(
        lease_ms=config.lease_ms,
        share_lease_ms=config.lend_ms,
        weights_interval_ms=config.look_ms,
        member_timeout_ms=config.lend_ms,
        min_reporting_fraction=config.enough,
        max_ramp_holders=config.most_holders,
    )


class PlannerCalls:
    """The operations of a planner's control socket; each returns an answer of the control protocol."""

    def __init__(self, server: PlannerServer) -> None:
        """Take the server whose planner is asked."""
        self._server = server

    async def run(self, call: dict[str, Any], author: str) -> dict[str, Any]:  # noqa: ARG002 - part of the protocol
        """Answer one call.

        Args:
            call: The operation's name under `op`, and its arguments.
            author: Who calls.
        """
        name = call.get("op")
        match name:
            case "status":
                return {"ok": True} | self._server.status()
            case "explain":
                return self._explain(call.get("server"), call.get("pool"))
            case _:
                return fault(
                    FaultReason.INVALID, f"op: unknown operation {name!r:.60}; there are: status, explain"
                )

    def _explain(self, address: Any, pool: Any) -> dict[str, Any]:
        """Answer why a server gets what it gets, in one pool or in each that it is in."""
        if not isinstance(address, str):
            return fault(
                FaultReason.INVALID, f"server: expected an address as host:port, got {address!r:.60}"
            )
        if not isinstance(pool, str | None):
            return fault(FaultReason.INVALID, f"pool: expected the name of a pool, got {pool!r:.60}")
        planner = self._server.planner
        now_ms = self._server.clock.now_ms()
        pools = [pool] if pool is not None else list(planner.pools)
        explanations = [planner.explain(name, address, now_ms) for name in pools]
        servers = [explanation for explanation in explanations if explanation is not None]
        if not servers:
            return fault(FaultReason.UNKNOWN, f"no forwarder has named server {address:.80}")
        return {"ok": True, "servers": servers}
