"""Start-up time and memory of the platform's program, against another checkout in alternating rounds.

    python -m benchmarks.start --before DIR [--rounds N]

Time from the start of the process until it accepts, and its resident memory then. Medians and ratios.
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
from pathlib import Path

from benchmarks.checkouts import package_of
from testkit.platform import config_data
from testkit.ports import free_port
from testkit.servers import entry

ROOT = Path(__file__).parent.parent


def once(checkout: Path, directory: str) -> tuple[float, float]:
    """Milliseconds until it accepts, and megabytes resident."""
    port = free_port()
    config = Path(directory) / "config.json"
    config.write_text(json.dumps(config_data([entry("s", 1)], 1, listen=f"127.0.0.1:{port}")))
    env = dict(os.environ) | {"GW_CONFIG": str(config), "PYTHONPATH": str(checkout)}
    begun = time.perf_counter()
    process = subprocess.Popen(
        [sys.executable, "-P", "-m", package_of(checkout)], cwd=checkout, env=env, stderr=subprocess.DEVNULL
    )
    try:
        while time.perf_counter() < begun + 20.0:
            with socket.socket() as client:
                if client.connect_ex(("127.0.0.1", port)) == 0:
                    break
            time.sleep(0.001)
        took = (time.perf_counter() - begun) * 1000.0
        time.sleep(0.2)
        status = Path(f"/proc/{process.pid}/status").read_text()
        resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return took, int(resident.split()[1]) / 1024.0
    finally:
        process.terminate()
        process.wait()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", required=True, metavar="DIR")
    parser.add_argument("--rounds", type=int, default=15)
    args = parser.parse_args()
    for checkout in (Path(args.before), ROOT):
        # Else the one that is not compiled starts later for that alone.
        compileall.compile_dir(checkout / package_of(checkout), quiet=2)
    rows: dict[str, list[tuple[float, float]]] = {"before": [], "now": []}
    with tempfile.TemporaryDirectory() as directory:
        for turn in range(args.rounds + 1):
            for name, checkout in (("before", Path(args.before)), ("now", ROOT)):
                found = once(checkout, directory)
                if turn:  # the first fills the caches
                    rows[name].append(found)
    time_ms, memory = (
        {name: statistics.median(row[at] for row in found) for name, found in rows.items()} for at in (0, 1)
    )
    print(
        f"start: {time_ms['now']:.0f} ms for {time_ms['before']:.0f} (ratio "
        f"{time_ms['now'] / time_ms['before']:.2f}); {memory['now']:.1f} MB for {memory['before']:.1f} "
        f"(ratio {memory['now'] / memory['before']:.2f})"
    )


if __name__ == "__main__":
    main()
