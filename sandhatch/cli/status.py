"""The verbs that show a running service's state: status, history and show.

The control socket's responses are printed as text and tables, and unchanged with `--json`. Their keys are
those of the control protocol.
"""

from __future__ import annotations

import argparse
from functools import partial
from typing import Any

from sandhatch.cli.changes import show_version
from sandhatch.cli.console import Console
from sandhatch.cli.service_call import Response, call_service
from sandhatch.cli.verbs import VerbParsers

POOL_COLUMNS = ("pool", "content", "versions", "ready", "servers", "connections", "requests")
LISTENER_COLUMNS = ("name", "address", "connections")
PLANNER_COLUMNS = ("planner", "state", "advice_counts", "learning", "advices", "late", "refused", "last")
PROPOSAL_COLUMNS = ("proposal", "base", "author", "comment")
HISTORY_COLUMNS = ("version", "base", "state", "changes", "author", "comment", "why")


def add_verbs(verbs: VerbParsers) -> None:
    """Add status, history and show."""
    verb_handler = partial(call_service, build_arguments=_no_arguments, show=_show_status)
    verbs.add(
        "status", "show the active and the pending version, pools, listeners and proposals", verb_handler
    )
    verb_handler = partial(call_service, build_arguments=_no_arguments, show=_show_history)
    verbs.add("history", "list the versions and their final states", verb_handler)
    verb_handler = partial(call_service, build_arguments=_version_argument, show=_show_text)
    verbs.add("show", "print a version's configuration", verb_handler).add_argument(
        "version", type=int, nargs="?"
    )


def _no_arguments(args: argparse.Namespace) -> dict[str, Any]:  # noqa: ARG001 - signature of BuildArguments
    return {}


def _version_argument(args: argparse.Namespace) -> dict[str, Any]:
    return {"version": args.version}


def _show_status(response: Response, console: Console) -> None:
    console.line(
        f"{response['name']}: version {response['in_force']} in force, {response['confirmed']} confirmed"
    )
    if response["pending"]:
        show_version(response["pending"], console)
    console.table([{"content": content} | row for content, row in response["pools"].items()], POOL_COLUMNS)
    console.table(response["listeners"], LISTENER_COLUMNS)
    _show_bodies(response["bodies"], response["memory"], console)
    if response["planning"]:
        _show_planning(response["planning"], console)
    if response["proposals"]:
        console.table(response["proposals"], PROPOSAL_COLUMNS)


def _show_bodies(bodies: dict[str, Any], memory: dict[str, Any], console: Console) -> None:
    console.line(
        f"streamed bodies: {bodies['open']} open, at most {bodies['most_open']} at once, {bodies['bytes']}"
        f" bytes so far; at most {bodies['peak_bytes']} bytes buffered for one; {memory['held_bytes']} of"
        f" {memory['most_bytes']} bytes of memory in use"
    )


def _show_planning(planning: dict[str, Any], console: Console) -> None:
    leased_to = planning["lends_to"]
    if leased_to is None:
        ends_ms = planning["own_parts_in_ms"]
        console.line(
            f"{planning['forwarder']}: uses its own shares" + (f" in {ends_ms} ms" if ends_ms else "")
        )
    else:
        console.line(f"{planning['forwarder']}: its shares are leased to planner {leased_to}")
    console.table(planning["planners"], PLANNER_COLUMNS)


def _show_history(response: Response, console: Console) -> None:
    console.table(response["versions"], HISTORY_COLUMNS)


def _show_text(response: Response, console: Console) -> None:
    console.text(response["text"])
