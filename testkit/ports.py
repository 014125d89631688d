"""Ports of the loopback: free ones for processes that are given theirs, and a wait until one is listened at.

It keeps no port reserved: another process could take it in between. Source: bind(2) with port 0.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

CONNECT_RETRIES = 500
CONNECT_RETRY_S = 0.02


def free_port() -> int:
    """A TCP port of the loopback that nobody listens at."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def wait_until_listening(port: int) -> None:
    """Waits until something listens at a port.

    Raises:
        RuntimeError: nothing did for ten seconds.
    """
    for _ in range(CONNECT_RETRIES):
        with suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        await asyncio.sleep(CONNECT_RETRY_S)
    raise RuntimeError(f"nothing listens at {port}")
