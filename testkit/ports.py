"""Loopback ports: selection of a free port for a process, and a wait until a process listens on it.

Does not reserve the port: another process could bind it in the meantime. Source: bind(2) with port 0.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

CONNECT_RETRIES = 500
CONNECT_RETRY_S = 0.02


def free_port() -> int:
    """Returns a loopback TCP port that no process listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def wait_until_listening(port: int) -> None:
    """Waits until a process listens on a port.

    Raises:
        RuntimeError: No process listened on the port within ten seconds.
    """
    for _ in range(CONNECT_RETRIES):
        with suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        await asyncio.sleep(CONNECT_RETRY_S)
    raise RuntimeError(f"no process listens on port {port}")
