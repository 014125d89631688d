"""The verbs `planner ...`: run a planner, check its configuration, ask a running one, make keys.

Exit codes are those of the other verbs. The planner itself is `sandhatch.planning`, loaded only by the verbs
that need it. Source: docs/operators/planning.md.
"""

from __future__ import annotations

import argparse
import os
import signal
from typing import Any

from sandhatch.cli.console import Console, ExitCode, warn
from sandhatch.cli.service_call import TIMEOUT_S, Response, show_rejection
from sandhatch.cli.verbs import Handler, VerbParsers, add_control_option, add_json_option
from sandhatch.config.errors import CheckError
from sandhatch.config.planner import PlannerConfig, check_planner_file
from sandhatch.control.client import Client
from sandhatch.runtime.environment import renamed_variable

DEFAULT_CONTROL = "sandhatch-planner.sock"
SHARED_KEY_BYTES = 32
KEY_FILE_MODE = 0o600

POOL_COLUMNS = ("pool", "forwarders", "of", "servers", "cold", "weighed_down", "demand_per_s")
FORWARDER_COLUMNS = ("name", "heard_ms_ago", "advice", "taken", "conflict")


def add_verbs(verbs: VerbParsers) -> None:
    """Add `planner` and the verbs below it."""
    planner = verbs.add("planner", "advise forwarders: run a planner, or ask a running one", control=False)
    subparsers = planner.add_subparsers(dest="planner_verb", required=True, metavar="VERB")
    default_control = renamed_variable(os.environ, "PLANNER_CONTROL", warn) or DEFAULT_CONTROL

    def add(name: str, text: str, handler: Handler) -> argparse.ArgumentParser:
        """Add one verb below `planner`."""
        parser = subparsers.add_parser(name, help=text, description=text)
        parser.set_defaults(handler=handler)
        return parser

    run = add("run", "run a planner", _run)
    add_control_option(run, default_control)
    run.add_argument("file")
    check = add("check", "check a planner's configuration without starting", _check)
    check.add_argument("file")
    status = add("status", "what a running planner knows and advises", _status)
    add_control_option(status, default_control)
    status.add_argument("--explain", metavar="SERVER", help="why a server gets what it gets: host:port")
    status.add_argument("--pool", help="the pool of that server, where it is in several")
    add_json_option(status)
    key = add("key", "make an Ed25519 key, or a shared one", _make_key)
    key.add_argument("file")
    key.add_argument("--shared", action="store_true", help="one key for all, in place of Ed25519")
    public = add("public", "the public key to a private one", _show_public_key)
    public.add_argument("file")


# ------------------------------------------------ configuration


def _checked(path: str, console: Console) -> PlannerConfig | None:
    """Return a planner's configuration; None if it has errors, which are printed then."""
    try:
        return check_planner_file(path)
    except CheckError as failure:
        console.problems(failure.problems)
    except (OSError, ValueError) as problem:
        console.error(problem)
    return None


def _check(args: argparse.Namespace, console: Console) -> int:
    if _checked(args.file, console) is None:
        return ExitCode.FAILED
    console.line(f"{args.file}: configuration is valid")
    return ExitCode.OK


def _run(args: argparse.Namespace, console: Console) -> int:
    config = _checked(args.file, console)
    if config is None:
        return ExitCode.FAILED
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # a planner has nothing to reload: it is started anew
    # Not at the top: the other verbs start faster without the planner and its event loop.
    import uvloop

    from sandhatch.cli.planner_program import serve

    return uvloop.run(serve(config, args.control, console))


# ------------------------------------------------ keys


def _make_key(args: argparse.Namespace, console: Console) -> int:
    """Write a key into a new file that only its owner may read; an existing file is left as it is."""
    from sandhatch.planning.keys import new_private_key, public_key  # loads the cryptography of the extras

    key = os.urandom(SHARED_KEY_BYTES) if args.shared else new_private_key()
    try:
        descriptor = os.open(args.file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, KEY_FILE_MODE)
        with os.fdopen(descriptor, "w") as file:
            file.write(key.hex() + "\n")
    except (OSError, ValueError) as problem:
        console.error(problem)
        return ExitCode.FAILED
    if not args.shared:
        console.line(f"public key: {public_key(key).hex()}")
    return ExitCode.OK


def _show_public_key(args: argparse.Namespace, console: Console) -> int:
    from sandhatch.planning.keys import public_key, read_key

    try:
        public = public_key(read_key(args.file))
    except (OSError, ValueError) as problem:
        console.error(problem)
        return ExitCode.FAILED
    console.line(public.hex())
    return ExitCode.OK


# ------------------------------------------------ status


def _status(args: argparse.Namespace, console: Console) -> int:
    with Client(args.control, TIMEOUT_S) as client:
        if args.explain is not None:
            response = client.call("explain", server=args.explain, pool=args.pool)
        else:
            response = client.call("status")
    if args.json:
        console.json(response)
    elif not response.get("ok"):
        show_rejection(response, console)
    elif args.explain is not None:
        for server in response["servers"]:
            _show_explanation(server, console)
    else:
        _show_status(response, console)
    return ExitCode.OK if response.get("ok") else ExitCode.FAILED


def _show_status(response: Response, console: Console) -> None:
    state = "learning: it grants nothing new yet" if response["learning"] else "advising"
    console.line(f"planner {response['name']}, epoch {response['epoch']}: {state}")
    console.line(f"{response['reports']} reports, {response['turned_away']} sessions refused")
    console.table(response["pools"], POOL_COLUMNS)
    console.table(response["forwarders"], FORWARDER_COLUMNS)


def _show_explanation(server: dict[str, Any], console: Console) -> None:
    """Print why a server gets what it gets; the keys are those of the control protocol."""
    console.line(f"{server['server']} in {server['pool']}: listed by {server['listed_by']} forwarders")
    ratio = f", {server['ratio']:g} times the tier's" if server["ratio"] else ""
    console.line(f"  weight {server['weight']:g}: {server['why']}{ratio}")
    console.line(
        f"  {server['outstanding']} calls out (mean {server['load']:g}), answers {server['slowness']:g} times"
        f" the usual, {100.0 * server['failing']:.1f} % failing, of {server['calls']:g} calls lately"
    )
    if server["cold"]:
        console.line(f"  cold: {100.0 * server['ramp_lent']:.1f} % of its ramp is lent to this planner")
        for name, part in sorted(server["ramp_granted"].items()):
            console.line(f"    {name}: {100.0 * part:.1f} %")
