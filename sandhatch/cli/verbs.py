"""The parsers of verbs, with the options that verbs share.

The modules of the verbs define the other arguments and the functions that run them.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import TYPE_CHECKING

from sandhatch.cli.console import Console

Handler = Callable[[argparse.Namespace, Console], int]  # returns the exit code

if TYPE_CHECKING:
    SubParsers = argparse._SubParsersAction[argparse.ArgumentParser]  # noqa: SLF001 - the type has no public name


class VerbParsers:
    """Adds the parsers of verbs to the command's parser."""

    def __init__(self, subparsers: SubParsers, default_control: str) -> None:
        """Add verbs to `subparsers`; `default_control` is the default path of the control socket."""
        self._subparsers = subparsers
        self._default_control = default_control

    def add(
        self, name: str, text: str, handler: Handler | None = None, control: bool = True
    ) -> argparse.ArgumentParser:
        """Add a verb.

        Args:
            name: Name of the verb.
            text: Description of the verb for the help.
            handler: Function that runs the verb; None if the verb only has verbs below it.
            control: Whether the verb takes the path of a control socket.
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
    parser.add_argument(
        "--control", default=default, metavar="PATH", help="path of the control socket (default: %(default)s)"
    )


def add_json_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for output as JSON, to be read by programs."""
    parser.add_argument("--json", action="store_true", help="print the response as one JSON object")
