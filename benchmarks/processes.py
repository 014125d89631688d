"""Processes that a benchmark starts and measures, bound to separate cores.

Only processes that the benchmark started are terminated. Processor time and memory are read
from proc(5); binding to cores uses sched_setaffinity(2).
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
    """The computer's cores: one for the measured process, the rest for all others."""

    measured: set[int]
    rest: set[int]


def split_cores() -> Cores:
    """Reserves the last core for measured processes, and binds this process to the rest."""
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
        arguments: Arguments of the interpreter.
        cores: Numbers of the cores to bind the process to.
        env: Environment variables in addition to those of this process.
        cwd: Working directory of the new process.
        stdout: Standard output, as for `asyncio.create_subprocess_exec`.
        stderr: Standard error, as for `asyncio.create_subprocess_exec`; discarded by default.
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
    """Terminates processes, including those suspended by a signal, and waits for each."""
    processes = list(processes)
    for process in processes:
        with suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
            process.terminate()
    for process in processes:
        await process.wait()


def cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
