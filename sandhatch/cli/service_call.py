"""One call on a running service, and its answer printed.

The names of operations, arguments and answers' keys are those of the control protocol
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
WAIT_TIMEOUT_S = 86_400.0  # of a call that waits until a change is confirmed or rolled back

Response = dict[str, Any]  # one JSON object of the control protocol
MakeArguments = Callable[[argparse.Namespace], dict[str, Any]]
Show = Callable[[Response, Console], None]

EXIT_CODES = {
    RejectionReason.CONFLICT.value: ExitCode.CONFLICT,
    RejectionReason.BUSY.value: ExitCode.BUSY,
    RejectionReason.FULL.value: ExitCode.BUSY,
}  # by an answer's `why`
STATES_OF_FAILURE = (State.FAILED.value, State.ROLLED_BACK.value, State.LOST.value)
VERBS_THAT_CHANGE = ("commit", "confirm")


def call_service(
    args: argparse.Namespace, console: Console, make_arguments: MakeArguments, show: Show
) -> int:
    """Make the call that the verb is named for.

    Args:
        args: Those of the command line.
        console: Where the answer goes.
        make_arguments: Makes the call's arguments of those of the command line; raises CheckError.
        show: Prints an answer without error; not used with `--json`.
    """
    try:
        arguments = make_arguments(args)
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
    failed = verb in VERBS_THAT_CHANGE and response.get("state") in STATES_OF_FAILURE
    return ExitCode.FAILED if failed else ExitCode.OK
