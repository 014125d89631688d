"""The verbs `serve` and `check`: run a service from a configuration file, or only check the file.

`check` starts nothing. The service itself is in `sandhatch.service`, which only `serve` imports.
"""

from __future__ import annotations

import argparse
import signal

from sandhatch.cli.console import Console, ExitCode
from sandhatch.cli.verbs import VerbParsers
from sandhatch.config.check import check_file
from sandhatch.config.errors import CheckError, Problem


def add_verbs(verbs: VerbParsers) -> None:
    """Add serve and check."""
    serve = verbs.add("serve", "run a service from a configuration file", _serve)
    serve.add_argument(
        "file", help="configuration file; a version saved in --state takes precedence at the start"
    )
    serve.add_argument("--state", metavar="DIR", help="save versions in this directory, on a persistent disk")
    serve.add_argument("--access-log", metavar="FILE", help="append one JSON line per request to this file")
    check = verbs.add("check", "check a configuration without starting the service", _check, control=False)
    check.add_argument("file")


def _check(args: argparse.Namespace, console: Console) -> int:
    try:
        problems = list(check_file(args.file).warnings)
        valid = True
    except CheckError as failure:
        problems = failure.problems
        valid = False
    if args.json:
        console.json({"ok": valid, "problems": [_problem_row(problem) for problem in problems]})
    else:
        console.problems(problems)
        if valid:
            console.line(f"{args.file}: configuration is valid")
    return ExitCode.OK if valid else ExitCode.FAILED


def _problem_row(problem: Problem) -> dict[str, object]:
    return {
        "file": problem.file,
        "line": problem.line,
        "key": problem.key,
        "text": problem.text,
        "warning": problem.warning,
    }


def _serve(args: argparse.Namespace, console: Console) -> int:
    try:
        checked = check_file(args.file)
    except CheckError as failure:
        console.problems(failure.problems)
        return ExitCode.FAILED
    console.problems(checked.warnings)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # ignored until the service can reload its file
    # Imported here, so that the verbs that run no service start faster without uvloop and the service.
    import uvloop

    from sandhatch.cli.service_program import serve

    return uvloop.run(serve(args, checked, console))
