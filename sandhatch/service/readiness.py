"""Waits until a pool can serve: its endpoint list has a ready server which, if required, is reachable.

No request is sent. The whole wait is bounded by `STAGE_TIMEOUT_S`.
"""

from __future__ import annotations

import asyncio

from sandhatch.runtime.address import Address, parse_address_setting
from sandhatch.service.errors import StageError
from sandhatch.service.running_pool import RunningPool

STAGE_TIMEOUT_S = 5.0  # limit on receiving the endpoint list and connecting to a server, together
MAX_PARALLEL_CONNECTS = 8
LIST_POLL_S = 0.01


async def wait_until_ready(pool: RunningPool) -> None:
    """Wait for the pool's endpoint list; if `require_reachable` is set, also connect to one of its servers.

    Raises:
        StageError: No list with a ready server was received in time, or a reachable server is required and
            none is ready or can be connected to.
    """
    try:
        async with asyncio.timeout(STAGE_TIMEOUT_S):
            if pool.spec.source is not None:
                await _wait_for_list(pool)
            if not pool.spec.require_reachable:
                return
            targets = _target_addresses(pool)
            if not targets:
                raise StageError(f"pools.{pool.name}: no server is ready")
            await _connect_to_any(pool.name, targets)
    except TimeoutError:
        raise StageError(
            f"pools.{pool.name}: no list or no connection within {STAGE_TIMEOUT_S:g} s"
        ) from None


def _target_addresses(pool: RunningPool) -> list[Address]:
    if pool.spec.source is not None:
        return [upstream.address for upstream in pool.dispatcher.connection_pool.servers.values()]
    return [
        parse_address_setting(server.address, "address")
        for server in (pool.spec.servers or {}).values()
        if server.state == "ready"
    ]


async def _wait_for_list(pool: RunningPool) -> None:
    if not pool.started:
        pool.started = True
        pool.dispatcher.source.start()
        if pool.spec.source is not None and pool.spec.source.ask:
            pool.dispatcher.source.fetch()
    while not pool.dispatcher.has_ready_server:  # noqa: ASYNC110 - the dispatcher has no event for readiness
        await asyncio.sleep(LIST_POLL_S)


async def _connect_to_any(name: str, targets: list[Address]) -> None:
    """Connect to any of the servers and close the connection at once; nothing is sent on it."""
    problem = "no server"
    for start in range(0, len(targets), MAX_PARALLEL_CONNECTS):
        batch = targets[start : start + MAX_PARALLEL_CONNECTS]
        attempts = [asyncio.create_task(_connect_error(target)) for target in batch]
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


async def _connect_error(target: Address) -> str | None:
    """Return why connecting to the address fails; None if it succeeds."""
    try:
        _, writer = await asyncio.open_connection(*target)
    except OSError as problem:
        return f"{target[0]}:{target[1]}: {problem.strerror or problem}"
    writer.transport.abort()
    return None
