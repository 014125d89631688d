"""The verb `demo`: runs fake servers, traffic and a configuration change during the traffic, on loopback.

The demo runs in a process of its own, since the program never imports the fake servers.
"""

from __future__ import annotations

import argparse
import subprocess
import sys

from sandhatch.cli.console import Console
from sandhatch.cli.verbs import VerbParsers


def add_verbs(verbs: VerbParsers) -> None:
    """Add `demo`."""
    verbs.add(
        "demo",
        "run fake servers, traffic and a configuration change under it, on loopback",
        _run,
        control=False,
    )


def _run(args: argparse.Namespace, console: Console) -> int:  # noqa: ARG001 - signature of Handler
    return subprocess.call([sys.executable, "-m", "testkit.demo"])
