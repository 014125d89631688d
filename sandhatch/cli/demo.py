"""The verb `demo`: fake servers, traffic and a change under it, on loopback.

It runs in a process of its own, since the program never imports the fakes.
"""

from __future__ import annotations

import argparse
import subprocess
import sys

from sandhatch.cli.console import Console
from sandhatch.cli.verbs import VerbParsers


def add_verbs(verbs: VerbParsers) -> None:
    """Add `demo`."""
    verbs.add("demo", "fake servers, traffic and a change under it, on loopback", _run, control=False)


def _run(args: argparse.Namespace, console: Console) -> int:  # noqa: ARG001 - as every handler
    return subprocess.call([sys.executable, "-m", "testkit.demo"])
