"""The verbs that change a running service's configuration: propose, diff, commit, confirm, roll back.

Files are checked before they are sent, so that errors name the file and its lines. `config.transactions`
decides whether a change is accepted.
"""

from __future__ import annotations

import argparse
from functools import partial
from typing import Any

from sandhatch.cli.console import Console
from sandhatch.cli.service_call import Response, call_service
from sandhatch.cli.verbs import VerbParsers
from sandhatch.config.check import check_text
from sandhatch.config.document import read_bytes
from sandhatch.config.errors import CheckError, Problem

MS_PER_S = 1000.0


def add_verbs(verbs: VerbParsers) -> None:
    """Add the verbs, in the order in which an operator uses them."""
    _add_propose(verbs)
    _add_diff(verbs)
    _add_commit(verbs)
    _add_confirmation(verbs)


def _add_propose(verbs: VerbParsers) -> None:
    handler = partial(call_service, build_arguments=_propose_arguments, show=_show_proposal)
    propose = verbs.add("propose", "check a configuration and store it as a proposal", handler)
    propose.add_argument("file")
    propose.add_argument(
        "--base",
        type=int,
        metavar="VERSION",
        help="version that the file was edited from (default: the active version)",
    )
    propose.add_argument("--comment", default="")
    propose.add_argument(
        "--merge",
        action="store_true",
        help="merge with changes made since the base, if no key was changed in both",
    )


def _add_diff(verbs: VerbParsers) -> None:
    handler = partial(call_service, build_arguments=_diff_arguments, show=_show_diff)
    diff = verbs.add(
        "diff",
        "show the keys that differ between the active version and a file, proposal or version",
        handler,
    )
    diff.add_argument("file", nargs="?")
    diff.add_argument("--proposal", type=int)
    diff.add_argument("--before", type=int, metavar="VERSION")
    diff.add_argument("--after", type=int, metavar="VERSION")


def _add_commit(verbs: VerbParsers) -> None:
    handler = partial(call_service, build_arguments=_commit_arguments, show=show_version)
    commit = verbs.add("commit", "apply a proposal to all traffic", handler)
    commit.add_argument("proposal", type=int)
    commit.add_argument(
        "--confirm-within",
        type=float,
        metavar="SECONDS",
        help="roll back unless confirmed within this time (default: confirm automatically)",
    )
    commit.add_argument("--no-watch", action="store_true", help="do not roll back if goodput falls")
    commit.add_argument(
        "--wait", action="store_true", help="wait until the version is confirmed or rolled back"
    )


def _add_confirmation(verbs: VerbParsers) -> None:
    handler = partial(call_service, build_arguments=_confirm_arguments, show=show_version)
    confirm = verbs.add("confirm", "confirm the pending version", handler)
    confirm.add_argument("version", type=int, nargs="?")
    handler = partial(call_service, build_arguments=_extend_arguments, show=show_version)
    extend = verbs.add("extend", "set the time to confirm the pending version, from now", handler)
    extend.add_argument("seconds", type=float)
    handler = partial(call_service, build_arguments=_rollback_arguments, show=show_version)
    rollback = verbs.add("rollback", "roll back to the previous version, or to a given one", handler)
    rollback.add_argument("--to", type=int, metavar="VERSION")
    handler = partial(call_service, build_arguments=_abort_arguments, show=_show_abort)
    verbs.add("abort", "discard a proposal", handler).add_argument("proposal", type=int)


# ------------------------------------------------ arguments of the calls, named as in the control protocol


def _propose_arguments(args: argparse.Namespace) -> dict[str, Any]:
    text = _read_checked_text(args.file)
    return {"text": text, "base": args.base, "comment": args.comment, "merge": args.merge}


def _diff_arguments(args: argparse.Namespace) -> dict[str, Any]:
    text = _read_checked_text(args.file) if args.file else None
    return {"text": text, "proposal": args.proposal, "before": args.before, "after": args.after}


def _commit_arguments(args: argparse.Namespace) -> dict[str, Any]:
    within_s: float | None = args.confirm_within
    return {
        "proposal": args.proposal,
        "confirm_within_ms": None if within_s is None else within_s * MS_PER_S,
        "watch": not args.no_watch,
        "wait": args.wait,
    }


def _confirm_arguments(args: argparse.Namespace) -> dict[str, Any]:
    return {"version": args.version}


def _extend_arguments(args: argparse.Namespace) -> dict[str, Any]:
    return {"within_ms": args.seconds * MS_PER_S}


def _rollback_arguments(args: argparse.Namespace) -> dict[str, Any]:
    return {"to": args.to}


def _abort_arguments(args: argparse.Namespace) -> dict[str, Any]:
    return {"proposal": args.proposal}


def _read_checked_text(path: str) -> str:
    """Return the text of a configuration file.

    Raises:
        CheckError: The file has errors or can't be read.
    """
    data = read_bytes(path)
    check_text(data, path)
    try:
        return data.decode()
    except UnicodeDecodeError as problem:
        raise CheckError([Problem(path, 0, "", f"not UTF-8: {problem.reason}")]) from None


# ------------------------------------------------ output of responses


def _show_proposal(response: Response, console: Console) -> None:
    console.problems(response["warnings"])
    console.line(
        f"proposal {response['proposal']}: {response['changes']} keys differ from version {response['base']}"
    )


def _show_diff(response: Response, console: Console) -> None:
    console.line("\n".join(response["changes"]) or "no key differs")


def _show_abort(response: Response, console: Console) -> None:  # noqa: ARG001 - signature of ShowResponse
    console.line("proposal discarded")


def show_version(response: Response, console: Console) -> None:
    """Print a version's state, the reason, and the times left until its rollback and goodput watch's end."""
    console.line(f"version {response['version']}: {response['state']}")
    if response.get("why"):
        console.problems([response["why"]])
    if "confirm_in_ms" in response:
        console.line(f"rolled back unless confirmed in {response['confirm_in_ms'] / MS_PER_S:.1f} s")
    if "watch_ends_in_ms" in response:
        console.line(f"goodput is compared for another {response['watch_ends_in_ms'] / MS_PER_S:.1f} s")
