"""The process of a planner: its server, control socket, signals and shutdown.

Runs until a signal ends it. `sandhatch.planning` computes the guidance; this module translates the keys of
the configuration (docs/operators/planning.md) into that package's terms.
"""

from __future__ import annotations

import asyncio
from typing import Any

from sandhatch.cli.console import Console, ExitCode
from sandhatch.config.planner import PlannerConfig
from sandhatch.control.errors import ControlError, FaultReason
from sandhatch.control.framing import fault_response
from sandhatch.control.server import ControlServer
from sandhatch.planning.errors import BadKeyError
from sandhatch.planning.keys import load_identity
from sandhatch.planning.server import PlannerServer
from sandhatch.planning.terms import PlannerTerms
from sandhatch.runtime.address import parse_address_setting
from sandhatch.runtime.clock import Clock
from sandhatch.runtime.logger import Logger, report_loop_errors
from sandhatch.runtime.process import freeze_garbage_collector, raise_descriptor_limit, shutdown_event

RESERVED_DESCRIPTORS = 64  # descriptors for log, control socket and event loop, not for forwarders
SEND_DELAY_S = 0.05  # delay before exit in which the last messages to forwarders are sent


async def serve(config: PlannerConfig, control_path: str, console: Console) -> int:
    """Run the planner until a signal ends the process; return the exit code.

    Args:
        config: Configuration of the planner.
        control_path: Path of the planner's control socket.
        console: Output for errors at the start.
    """
    loop = asyncio.get_running_loop()
    stopping = shutdown_event(loop)
    logger = Logger(config.name)
    report_loop_errors(loop, logger)
    try:
        server = _build_server(config, Clock(loop), logger)
        await server.start()
        control = ControlServer(PlannerCalls(server), logger, control_path)
        await control.start()
    except (BadKeyError, ControlError, OSError) as problem:
        console.error(problem)
        return ExitCode.FAILED
    freeze_garbage_collector()
    host, _ = parse_address_setting(config.listen, "listen")
    logger.write_line(f"planner {config.name} at {host}:{server.port}; control at {control_path}")
    await stopping.wait()
    await control.stop()
    server.stop()
    await asyncio.sleep(SEND_DELAY_S)
    return ExitCode.OK


def _build_server(config: PlannerConfig, clock: Clock, logger: Logger) -> PlannerServer:
    descriptors = raise_descriptor_limit(config.most_forwarders + RESERVED_DESCRIPTORS)
    return PlannerServer(
        config.name,
        parse_address_setting(config.listen, "listen"),
        load_identity(config.shared_key_file, config.private_key_file, config.forwarders),
        clock,
        logger.write_line,
        _build_terms(config),
        config.bytes_per_s,
        min(config.most_forwarders, descriptors - RESERVED_DESCRIPTORS),
    )


def _build_terms(config: PlannerConfig) -> PlannerTerms:
    return PlannerTerms(
        lease_ms=config.lease_ms,
        share_lease_ms=config.lend_ms,
        weights_interval_ms=config.look_ms,
        member_timeout_ms=config.lend_ms,
        min_reporting_fraction=config.enough,
        max_ramp_holders=config.most_holders,
    )


class PlannerCalls:
    """The operations of a planner's control socket; each returns a response of the control protocol."""

    def __init__(self, server: PlannerServer) -> None:
        """Serve calls on the server's planner."""
        self._server = server

    async def run(self, call: dict[str, Any], author: str) -> dict[str, Any]:  # noqa: ARG002 - signature of CallRunner
        """Return the response to a call.

        Args:
            call: Name of the operation under `op`, and its arguments.
            author: Name of the user who makes the call.
        """
        name = call.get("op")
        match name:
            case "status":
                return {"ok": True} | self._server.status()
            case "explain":
                return self._explain(call.get("server"), call.get("pool"))
            case _:
                return fault_response(
                    FaultReason.INVALID,
                    f"op: unknown operation {name!r:.60}; known operations: status, explain",
                )

    def _explain(self, server_address: Any, pool: Any) -> dict[str, Any]:
        """Explain a server's advised weight, in the given pool or in every pool that has the server."""
        if not isinstance(server_address, str):
            return fault_response(
                FaultReason.INVALID, f"server: expected an address as host:port, got {server_address!r:.60}"
            )
        if not isinstance(pool, str | None):
            return fault_response(FaultReason.INVALID, f"pool: expected the name of a pool, got {pool!r:.60}")
        planner = self._server.planner
        now_ms = self._server.clock.now_ms()
        pools = [pool] if pool is not None else list(planner.pools)
        explanations = [planner.explain(name, server_address, now_ms) for name in pools]
        servers = [explanation for explanation in explanations if explanation is not None]
        if not servers:
            return fault_response(FaultReason.UNKNOWN, f"no forwarder has named server {server_address:.80}")
        return {"ok": True, "servers": servers}
