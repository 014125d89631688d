"""The command line: `sandhatch VERB`. Without a verb the platform's program runs instead.

Parses the arguments, runs the verb and returns its exit code; see `ExitCode`.
"""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence
from typing import TextIO

from sandhatch.cli import changes, demo, planner, serve, status
from sandhatch.cli.console import Console, ExitCode, warn
from sandhatch.cli.verbs import VerbParsers
from sandhatch.control.errors import UnreachableError
from sandhatch.runtime.environment import renamed_variable

DEFAULT_CONTROL = "sandhatch.sock"
DESCRIPTION = """\
The command line: `sandhatch VERB`. Without a verb the platform's program runs.

Exit codes: 0 done; 1 the configuration has errors, or the change failed or was rolled back; 2 wrong usage; 3
no service responds at the control socket; 4 the change conflicts with another; 5 another change is in
progress, try again later.
"""


def main(arguments: Sequence[str], out: TextIO | None = None, err: TextIO | None = None) -> int:
    """Run one verb and return its exit code.

    Args:
        arguments: Arguments of the command line, without the program's name.
        out: Stream for results; None for standard output.
        err: Stream for problems; None for standard error.
    """
    console = Console(out or sys.stdout, err or sys.stderr)
    try:
        args = _build_parser().parse_args(arguments)
    except SystemExit as leaving:
        return int(leaving.code or 0)
    try:
        code: int = args.handler(args, console)
    except UnreachableError as problem:
        console.error(problem)
        return ExitCode.UNREACHABLE
    return code


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sandhatch", description=DESCRIPTION, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    subparsers = parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    verbs = VerbParsers(subparsers, renamed_variable(os.environ, "CONTROL", warn) or DEFAULT_CONTROL)
    serve.add_verbs(verbs)
    changes.add_verbs(verbs)
    status.add_verbs(verbs)
    planner.add_verbs(verbs)
    demo.add_verbs(verbs)
    return parser
