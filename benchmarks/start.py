"""Start-up time and memory of the platform's program, compared with another checkout in alternating rounds.

    python -m benchmarks.start --before DIR [--rounds N]

Prints medians and ratios of the time from the start of the process until it accepts connections, and of its
resident memory at that time.
"""

from __future__ import annotations

import argparse
import compileall
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from benchmarks.checkouts import ROOT, package_of
from sandhatch.runtime.process import resident_bytes
from testkit.platform import config_data, entry
from testkit.ports import free_port

START_TIMEOUT_S = 20.0
POLL_S = 0.001
MEMORY_DELAY_S = 0.2  # seconds between the first accepted connection and the reading of memory
MIB = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Start:
    """Figures of one start of the program."""

    until_accepting_ms: float
    resident_mib: float


def measure_start(checkout: Path, directory: Path) -> Start:
    """Starts a checkout's program, waits until it accepts connections, and terminates it."""
    port = free_port()
    config = directory / "config.json"
    config.write_text(json.dumps(config_data([entry("s", 1)], 1, listen=f"127.0.0.1:{port}")))
    env = dict(os.environ) | {"GW_CONFIG": str(config), "PYTHONPATH": str(checkout)}
    command = [sys.executable, "-P", "-m", package_of(checkout)]
    started_s = time.perf_counter()
    process = subprocess.Popen(command, cwd=checkout, env=env, stderr=subprocess.DEVNULL)
    try:
        while time.perf_counter() < started_s + START_TIMEOUT_S:
            with socket.socket() as client:
                if client.connect_ex(("127.0.0.1", port)) == 0:
                    break
            time.sleep(POLL_S)
        until_accepting_ms = (time.perf_counter() - started_s) * 1000.0
        time.sleep(MEMORY_DELAY_S)
        return Start(until_accepting_ms, resident_bytes(process.pid) / MIB)
    finally:
        process.terminate()
        process.wait()


def measure(before: Path, rounds: int) -> dict[str, list[Start]]:
    """Starts the programs of both checkouts alternately; the first round fills caches and is discarded."""
    checkouts = {"before": before, "now": ROOT}
    for checkout in checkouts.values():
        # Without this compilation, a checkout without byte code would start later than one with byte code.
        compileall.compile_dir(checkout / package_of(checkout), quiet=2)
    starts: dict[str, list[Start]] = {name: [] for name in checkouts}
    with tempfile.TemporaryDirectory() as directory:
        for turn in range(rounds + 1):
            for name, checkout in checkouts.items():
                start = measure_start(checkout, Path(directory))
                if turn:
                    starts[name].append(start)
    return starts


def main() -> None:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--before", required=True, metavar="DIR")
    parser.add_argument("--rounds", type=int, default=15)
    args = parser.parse_args()
    starts = measure(Path(args.before), args.rounds)
    time_ms = {
        name: statistics.median(start.until_accepting_ms for start in values)
        for name, values in starts.items()
    }
    memory_mib = {
        name: statistics.median(start.resident_mib for start in values) for name, values in starts.items()
    }
    print(
        f"start: {time_ms['now']:.0f} ms, before {time_ms['before']:.0f} ms (ratio "
        f"{time_ms['now'] / time_ms['before']:.2f}); {memory_mib['now']:.1f} MiB, before "
        f"{memory_mib['before']:.1f} MiB (ratio {memory_mib['now'] / memory_mib['before']:.2f})"
    )


if __name__ == "__main__":
    main()
