"""Memory of a process under test, and clients that make it buffer as much as it accepts."""

from __future__ import annotations

from contextlib import AsyncExitStack
from pathlib import Path

from testkit.clients import HttpClient, request_bytes
from testkit.polling import wait_until

KIB_PER_MB = 1024
BODY_BYTES = 64 * 1024
SPARE_MB = 8.0  # memory limit of a process under slow clients, over what the program occupies
SLOW_CLIENTS = 250  # their bodies together have 15 MiB
SETTLED_SAMPLES = 500  # equal samples of a value that is read every millisecond, after which it has settled


def memory_mb(process_id: int, key: str) -> float:
    """Return the memory in MiB that the system states under this key, see proc(5)."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == key:
            return int(value.split()[0]) / KIB_PER_MB
    raise AssertionError(f"process {process_id} has no {key}")


async def peak_under_slow_clients_mb(process_id: int, port: int) -> float:
    """Return the peak memory in MiB when hundreds of clients stop in the middle of large requests."""
    unfinished = request_bytes(body=b"x" * BODY_BYTES)[:-1]
    async with AsyncExitStack() as connections:
        for _ in range(SLOW_CLIENTS):
            client = await connections.enter_async_context(HttpClient(port))
            client.send(unfinished)
        await wait_until_settled(process_id)
    return memory_mb(process_id, "VmHWM")


async def wait_until_settled(process_id: int) -> None:
    """Wait until the process's memory has stopped growing."""
    samples = [0.0]

    def has_settled() -> bool:
        samples.append(memory_mb(process_id, "VmHWM"))
        return len(samples) > SETTLED_SAMPLES and samples[-SETTLED_SAMPLES] == samples[-1]

    await wait_until(has_settled)
