"""Waits until a pool can serve: its endpoint list is there and a server accepts connections.

Sends no request. Every wait is bounded by `STAGE_TIMEOUT_S`.
"""

from __future__ import annotations

import asyncio

from sandhatch.runtime.address import Address, parse_address
from sandhatch.service.errors import StageError
from sandhatch.service.running_pool import RunningPool

STAGE_TIMEOUT_S = 5.0  # for the endpoint list to arrive and a server to be reached
MAX_PARALLEL_CONNECTS = 8
LIST_POLL_S = 0.01


async def wait_until_ready(pool: RunningPool) -> None:
    """Wait for the pool's endpoint list, and check that a server accepts a connection.

    Raises:
        StageError: There is no list in time, no server is ready, or none can be connected to.
    """
    try:
        async with asyncio.timeout(STAGE_TIMEOUT_S):
            if pool.spec.source is not None:
                await _wait_for_list(pool)
            if not pool.spec.require_reachable:
                return
            targets = _targets(pool)
            if not targets:
                raise StageError(f"pools.{pool.name}: no server is ready")
            await _connect_to_any(pool.name, targets)
    except TimeoutError:
        raise StageError(
            f"pools.{pool.name}: no list or no connection within {STAGE_TIMEOUT_S:g} s"
        ) from None


def _targets(pool: RunningPool) -> list[Address]:
    if pool.spec.source is not None:
        return [upstream.address for upstream in pool.dispatcher.connection_pool.table.values()]
    return [
        parse_address(server.address, "address")
        for server in (pool.spec.servers or {}).values()
        if server.state == "ready"
    ]


async def _wait_for_list(pool: RunningPool) -> None:
    if not pool.started:
        pool.started = True
        pool.dispatcher.source.start()
        if pool.spec.source is not None and pool.spec.source.ask:
            pool.dispatcher.source.fetch()
    while not pool.dispatcher.ready:  # noqa: ASYNC110 - the dispatcher has no event for this
        await asyncio.sleep(LIST_POLL_S)


async def _connect_to_any(name: str, targets: list[Address]) -> None:
    """Open one connection to any of the servers and close it at once; nothing is sent on it."""
    problem = "no server"
    for start in range(0, len(targets), MAX_PARALLEL_CONNECTS):
        batch = targets[start : start + MAX_PARALLEL_CONNECTS]
        attempts = [asyncio.create_task(_connection_problem(target)) for target in batch]
        try:
            for finished in asyncio.as_completed(attempts):
                failure = await finished
                if failure is None:
                    return
                problem = failure
        finally:
            for task in attempts:
                task.cancel()
    raise StageError(f"pools.{name}: no server can be connected to; {problem}")


async def _connection_problem(target: Address) -> str | None:
    """Why the address can't be connected to; None if it can."""
    try:
        _, writer = await asyncio.open_connection(*target)
    except OSError as problem:
        return f"{target[0]}:{target[1]}: {problem.strerror or problem}"
    writer.transport.abort()
    return None
