"""Processes that a benchmark starts and measures, bound to cores of their own.

It ends no process that it has not started. Source: proc(5) for the figures, sched_setaffinity(2).
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from benchmarks.checkouts import ROOT


@dataclass(frozen=True, slots=True)
class Cores:
    """The machine's cores: one for what is measured, the rest for all else."""

    measured: set[int]
    rest: set[int]


def split_cores() -> Cores:
    """Reserves the last core for what is measured, and binds this process to the rest."""
    cores = sorted(os.sched_getaffinity(0))
    split = Cores({cores[-1]}, set(cores[:-1]) or {cores[-1]})
    os.sched_setaffinity(0, split.rest)
    return split


async def spawn(
    *arguments: str,
    cores: set[int],
    env: dict[str, str] | None = None,
    cwd: str | Path = ROOT,
    stdout: int | None = None,
    stderr: int | None = asyncio.subprocess.DEVNULL,
) -> asyncio.subprocess.Process:
    """Starts a Python process that is bound to these cores.

    Args:
        arguments: of the interpreter.
        cores: numbers of cores.
        env: variables beside those of this process.
        cwd: its working directory.
        stdout: as of `asyncio.create_subprocess_exec`.
        stderr: the same; dropped unless given.
    """
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        cwd=cwd,
        env=dict(os.environ) | (env or {}),
        stdout=stdout,
        stderr=stderr,
        preexec_fn=lambda: os.sched_setaffinity(0, cores),
    )


async def stop_all(processes: Iterable[asyncio.subprocess.Process]) -> None:
    """Ends these processes, also those that are stopped by a signal, and waits for each."""
    processes = list(processes)
    for process in processes:
        with suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
            process.terminate()
    for process in processes:
        await process.wait()


def cpu_s(pid: int) -> float:
    """Processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int | str = "self") -> int:
    """A process's resident memory."""
    fields = Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")
