"""The verbs `planner ...`: run a planner, check its configuration, query a running planner, create keys.

The exit codes are those of the other verbs (`ExitCode`). The planner itself is in `sandhatch.planning`, which
is imported only by the verbs that need it. Source: docs/operators/planning.md.
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
    planner = verbs.add(
        "planner", "run a planner, which advises forwarders, or query a running one", control=False
    )
    subparsers = planner.add_subparsers(dest="planner_verb", required=True, metavar="VERB")
    default_control = renamed_variable(os.environ, "PLANNER_CONTROL", warn) or DEFAULT_CONTROL

    def add(name: str, text: str, handler: Handler) -> argparse.ArgumentParser:
        """Add a verb below `planner`."""
        parser = subparsers.add_parser(name, help=text, description=text)
        parser.set_defaults(handler=handler)
        return parser

    run = add("run", "run a planner", _run)
    add_control_option(run, default_control)
    run.add_argument("file")
    check = add("check", "check a planner's configuration without starting the planner", _check)
    check.add_argument("file")
    status = add("status", "show the state and the guidance of a running planner", _status)
    add_control_option(status, default_control)
    status.add_argument(
        "--explain", metavar="SERVER", help="explain the guidance for a server, given as host:port"
    )
    status.add_argument(
        "--pool", help="pool of the server given by --explain (default: every pool that has the server)"
    )
    add_json_option(status)
    key = add("key", "create an Ed25519 key, or a shared key", _make_key)
    key.add_argument("file")
    key.add_argument(
        "--shared", action="store_true", help="create a key that all peers share, in place of an Ed25519 key"
    )
    public = add("public", "print the public key of a private key", _show_public_key)
    public.add_argument("file")


# ------------------------------------------------ configuration


def _load_config(path: str, console: Console) -> PlannerConfig | None:
    """Read a planner's configuration; if it has errors, print them and return None."""
    try:
        return check_planner_file(path)
    except CheckError as failure:
        console.problems(failure.problems)
    except (OSError, ValueError) as problem:
        console.error(problem)
    return None


def _check(args: argparse.Namespace, console: Console) -> int:
    if _load_config(args.file, console) is None:
        return ExitCode.FAILED
    console.line(f"{args.file}: configuration is valid")
    return ExitCode.OK


def _run(args: argparse.Namespace, console: Console) -> int:
    config = _load_config(args.file, console)
    if config is None:
        return ExitCode.FAILED
    signal.signal(
        signal.SIGHUP, signal.SIG_IGN
    )  # a planner does not reload its configuration; it has to be restarted
    # Imported here, so that the verbs that run no planner start faster without uvloop and the planner.
    import uvloop

    from sandhatch.cli.planner_program import serve

    return uvloop.run(serve(config, args.control, console))


# ------------------------------------------------ keys


def _make_key(args: argparse.Namespace, console: Console) -> int:
    """Write a key into a new file that only its owner may read; never overwrite an existing file."""
    # Imported here, because sandhatch.planning.keys needs the optional cryptography package.
    from sandhatch.planning.keys import new_private_key, public_key

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
    state = "learning, no new grants yet" if response["learning"] else "advising"
    console.line(f"planner {response['name']}, epoch {response['epoch']}: {state}")
    console.line(f"{response['reports']} reports, {response['turned_away']} sessions rejected")
    console.table(response["pools"], POOL_COLUMNS)
    console.table(response["forwarders"], FORWARDER_COLUMNS)


def _show_explanation(server: dict[str, Any], console: Console) -> None:
    """Print why a server has its advised weight; the keys of `server` are set by the control protocol."""
    console.line(f"{server['server']} in {server['pool']}: listed by {server['listed_by']} forwarders")
    ratio = f", {server['ratio']:g} times the tier's baseline" if server["ratio"] else ""
    console.line(f"  weight {server['weight']:g}: {server['why']}{ratio}")
    console.line(
        f"  {server['outstanding']} attempts in flight (mean {server['load']:g}), latency"
        f" {server['slowness']:g} times the baseline, {100.0 * server['failing']:.1f} % failed, of"
        f" {server['calls']:g} recent attempts"
    )
    if server["cold"]:
        console.line(
            f"  warming up: {100.0 * server['ramp_lent']:.1f} % of its ramp is leased to this planner"
        )
        for name, part in sorted(server["ramp_granted"].items()):
            console.line(f"    {name}: {100.0 * part:.1f} %")
