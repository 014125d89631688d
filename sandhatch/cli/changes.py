"""The verbs that change a running service's configuration: propose, diff, commit, confirm, roll back.

Files are checked here before they are sent, so that errors name the file and its lines. What becomes of a
change is decided in `config.transactions`.
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
    """Add the verbs in the order of their use."""
    _add_propose(verbs)
    _add_diff(verbs)
    _add_commit(verbs)
    _add_confirmation(verbs)


def _add_propose(verbs: VerbParsers) -> None:
    handler = partial(call_service, make_arguments=_propose_arguments, show=_show_proposal)
    propose = verbs.add("propose", "check a change and keep it for a commit", handler)
    propose.add_argument("file")
    propose.add_argument("--base", type=int, metavar="VERSION", help="the version that it was made from")
    propose.add_argument("--comment", default="")
    propose.add_argument(
        "--merge", action="store_true", help="fit it to what came since, where no key is in common"
    )


def _add_diff(verbs: VerbParsers) -> None:
    handler = partial(call_service, make_arguments=_diff_arguments, show=_show_diff)
    diff = verbs.add("diff", "keys that differ from the version in force", handler)
    diff.add_argument("file", nargs="?")
    diff.add_argument("--proposal", type=int)
    diff.add_argument("--before", type=int, metavar="VERSION")
    diff.add_argument("--after", type=int, metavar="VERSION")


def _add_commit(verbs: VerbParsers) -> None:
    handler = partial(call_service, make_arguments=_commit_arguments, show=show_version)
    commit = verbs.add("commit", "apply a proposal to all traffic", handler)
    commit.add_argument("proposal", type=int)
    commit.add_argument("--confirm-within", type=float, metavar="SECONDS", help="else it is taken back")
    commit.add_argument("--no-watch", action="store_true", help="do not compare the goodput")
    commit.add_argument("--wait", action="store_true", help="until it is confirmed or taken back")


def _add_confirmation(verbs: VerbParsers) -> None:
    handler = partial(call_service, make_arguments=_confirm_arguments, show=show_version)
    confirm = verbs.add("confirm", "keep the version in force", handler)
    confirm.add_argument("version", type=int, nargs="?")
    handler = partial(call_service, make_arguments=_extend_arguments, show=show_version)
    extend = verbs.add("extend", "put off the time to confirm", handler)
    extend.add_argument("seconds", type=float)
    handler = partial(call_service, make_arguments=_rollback_arguments, show=show_version)
    rollback = verbs.add("rollback", "go back to the version before, or to a named one", handler)
    rollback.add_argument("--to", type=int, metavar="VERSION")
    handler = partial(call_service, make_arguments=_abort_arguments, show=_show_abort)
    verbs.add("abort", "forget a proposal", handler).add_argument("proposal", type=int)


# ------------------------------------------------ arguments of the calls, by the control protocol's names


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
    """Return a configuration file's text; CheckError if it has errors or can't be read."""
    data = read_bytes(path)
    check_text(data, path)
    try:
        return data.decode()
    except UnicodeDecodeError as problem:
        raise CheckError([Problem(path, 0, "", f"not UTF-8: {problem.reason}")]) from None


# ------------------------------------------------ answers


def _show_proposal(response: Response, console: Console) -> None:
    console.problems(response["warnings"])
    console.line(
        f"proposal {response['proposal']}: {response['changes']} keys differ from version {response['base']}"
    )


def _show_diff(response: Response, console: Console) -> None:
    console.line("\n".join(response["changes"]) or "no key differs")


def _show_abort(response: Response, console: Console) -> None:  # noqa: ARG001 - as every answer is shown
    console.line("forgotten")


def show_version(response: Response, console: Console) -> None:
    """Print a version's state, the reason for it, and the times that are left."""
    console.line(f"version {response['version']}: {response['state']}")
    if response.get("why"):
        console.problems([response["why"]])
    if "confirm_in_ms" in response:
        console.line(f"taken back unless confirmed in {response['confirm_in_ms'] / MS_PER_S:.1f} s")
    if "watch_ends_in_ms" in response:
        console.line(f"watched for {response['watch_ends_in_ms'] / MS_PER_S:.1f} s")
