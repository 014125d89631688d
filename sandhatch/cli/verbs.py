"""The parsers of verbs, with the options that all verbs share.

Only builds parsers; the modules of the verbs say what each takes and does.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import TYPE_CHECKING

from sandhatch.cli.console import Console

Handler = Callable[[argparse.Namespace, Console], int]  # returns the exit code

if TYPE_CHECKING:
    SubParsers = argparse._SubParsersAction[argparse.ArgumentParser]  # noqa: SLF001 - it has no public name


class VerbParsers:
    """Adds the parsers of verbs to that of the command."""

    def __init__(self, subparsers: SubParsers, default_control: str) -> None:
        """Take what the command's parser holds for verbs, and the default path of the control socket."""
        self._subparsers = subparsers
        self._default_control = default_control

    def add(
        self, name: str, text: str, handler: Handler | None = None, control: bool = True
    ) -> argparse.ArgumentParser:
        """Add a verb.

        Args:
            name: Of the verb.
            text: What it does, for the help.
            handler: Runs it; None if verbs below it do.
            control: Whether it takes the path of a control socket.
        """
        parser = self._subparsers.add_parser(name, help=text, description=text)
        if control:
            add_control_option(parser, self._default_control)
        add_json_option(parser)
        if handler is not None:
            parser.set_defaults(handler=handler)
        return parser


def add_control_option(parser: argparse.ArgumentParser, default: str) -> None:
    """Add the option for the path of the control socket."""
    parser.add_argument("--control", default=default, metavar="PATH", help="control socket (%(default)s)")


def add_json_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for an answer that programs read."""
    parser.add_argument("--json", action="store_true", help="the answer as one JSON object")
