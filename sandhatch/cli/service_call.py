"""A call on a running service, and the output of its response.

Names of operations, arguments and response keys are those of the control protocol
(docs/operators/configuration.md).
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import Any

from sandhatch.cli.console import Console, ExitCode
from sandhatch.config.errors import CheckError, RejectionReason
from sandhatch.config.version import State
from sandhatch.control.client import Client

TIMEOUT_S = 60.0
# Time limit on the response to a call that waits until a change is confirmed or rolled back.
WAIT_TIMEOUT_S = 86_400.0

Response = dict[str, Any]  # one JSON object of the control protocol
BuildArguments = Callable[[argparse.Namespace], dict[str, Any]]
ShowResponse = Callable[[Response, Console], None]

EXIT_CODES = {
    RejectionReason.CONFLICT.value: ExitCode.CONFLICT,
    RejectionReason.BUSY.value: ExitCode.BUSY,
    RejectionReason.FULL.value: ExitCode.BUSY,
}  # exit code of a rejected call, by the response's `why`
FAILURE_STATES = (State.FAILED.value, State.ROLLED_BACK.value, State.LOST.value)
CHANGE_VERBS = ("commit", "confirm")


def call_service(
    args: argparse.Namespace, console: Console, build_arguments: BuildArguments, show: ShowResponse
) -> int:
    """Make the call of the verb's name, print the response and return the exit code.

    Args:
        args: Parsed arguments of the command line.
        console: Output for the response.
        build_arguments: Function that builds the call's arguments from those of the command line; may raise
            CheckError.
        show: Function that prints a successful response; not used with `--json`.
    """
    try:
        arguments = build_arguments(args)
    except CheckError as failure:
        _show_check_error(failure, args.json, console)
        return ExitCode.FAILED
    timeout_s = WAIT_TIMEOUT_S if getattr(args, "wait", False) else TIMEOUT_S
    with Client(args.control, timeout_s) as client:
        response = client.call(args.verb, **arguments)
    if args.json:
        console.json(response)
    elif response.get("ok"):
        show(response, console)
    else:
        show_rejection(response, console)
        console.problems(response.get("problems", []))
    return _exit_code(args.verb, response)


def show_rejection(response: Response, console: Console) -> None:
    """Print why a call was rejected."""
    console.error(f"{response.get('why')}: {response.get('text')}")


def _show_check_error(failure: CheckError, as_json: bool, console: Console) -> None:
    if as_json:
        console.json({"ok": False, "why": "invalid", "problems": list(map(str, failure.problems))})
    else:
        console.problems(failure.problems)


def _exit_code(verb: str, response: Response) -> ExitCode:
    if not response.get("ok"):
        return EXIT_CODES.get(str(response.get("why")), ExitCode.FAILED)
    failed = verb in CHANGE_VERBS and response.get("state") in FAILURE_STATES
    return ExitCode.FAILED if failed else ExitCode.OK
