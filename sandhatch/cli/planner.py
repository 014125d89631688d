"""`sandhatch planner ...`: run a planner, ask a running one, make keys. Exit codes as of the other verbs."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TextIO

from sandhatch.cli.messages import warn
from sandhatch.config.document import CheckError
from sandhatch.control.client import Client
from sandhatch.control.framing import fault
from sandhatch.runtime.environment import renamed_variable
from sandhatch.runtime.text_table import table

if TYPE_CHECKING:
    from sandhatch.config.planner import PlannerConfig
    from sandhatch.planning.server import PlannerServer

OK, FAILED = 0, 1
CONTROL = "sandhatch-planner.sock"

Verb = Callable[..., argparse.ArgumentParser]


def add_planner_verbs(verb: Verb) -> None:
    planner = verb("planner", "advise forwarders: run a planner, or ask a running one", control=False)
    verbs = planner.add_subparsers(dest="planner_verb", required=True, metavar="VERB")
    default = renamed_variable(os.environ, "PLANNER_CONTROL", warn) or CONTROL
    for name, text in (
        ("run", "run a planner"),
        ("check", "check a planner's configuration without starting"),
        ("status", "what a running planner knows and advises"),
        ("key", "make an Ed25519 key, or a shared one"),
        ("public", "the public key to a private one"),
    ):
        sub = verbs.add_parser(name, help=text, description=text)
        if name in ("run", "status"):
            sub.add_argument(
                "--control", default=default, metavar="PATH", help="control socket (%(default)s)"
            )
        if name == "status":
            sub.add_argument("--explain", metavar="SERVER", help="why a server gets what it gets: host:port")
            sub.add_argument("--pool", help="the pool of that server, where it is in several")
            sub.add_argument("--json", action="store_true", help="the answer as one JSON object")
        else:
            sub.add_argument("file")
        if name == "key":
            sub.add_argument("--shared", action="store_true", help="one key for all, in place of Ed25519")


def run_planner_verb(args: argparse.Namespace, out: TextIO, err: TextIO) -> int:
    if args.planner_verb == "status":
        return _status(args, out, err)
    try:
        if args.planner_verb == "key":
            return _new_key(args, out)
        if args.planner_verb == "public":
            from sandhatch.planning.keys import public_key, read_key

            print(public_key(read_key(args.file)).hex(), file=out)
            return OK
        from sandhatch.config.planner import check_planner_file

        config = check_planner_file(args.file)
    except CheckError as failure:
        for problem in failure.problems:
            print(problem, file=err)
        return FAILED
    except (OSError, ValueError) as problem:
        print(f"sandhatch: {problem}", file=err)
        return FAILED
    if args.planner_verb == "check":
        print(f"{args.file}: configuration is valid", file=out)
        return OK
    import uvloop

    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # a planner has nothing to reload: it is started anew
    return uvloop.run(_run(config, args.control, err))


def _new_key(args: argparse.Namespace, out: TextIO) -> int:
    """Into a new file that only its owner may read. OSError if there is one already."""
    from sandhatch.planning.keys import new_private_key, public_key

    key = os.urandom(32) if args.shared else new_private_key()
    with os.fdopen(os.open(args.file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as file:
        file.write(key.hex() + "\n")
    if not args.shared:
        print(f"public key: {public_key(key).hex()}", file=out)
    return OK


# ------------------------------------------------ running


class PlannerCalls:
    """The calls on a planner's control socket."""

    def __init__(self, server: PlannerServer) -> None:
        self._server = server

    async def run(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        name = call.get("op")
        if name == "status":
            return {"ok": True} | self._server.status()
        if name == "explain":
            return self._explain(call.get("server"), call.get("pool"))
        return fault("invalid", f"op: {name!r:.60} is none; there are: status, explain")

    def _explain(self, address: Any, pool: Any) -> dict[str, Any]:
        planner, now = self._server.planner, self._server.clock.now_ms()
        if not isinstance(address, str) or not isinstance(pool, str | None):
            return fault("invalid", "server: an address as host:port is wanted; pool: a name")
        found = [
            told
            for name in ([pool] if pool is not None else list(planner.pools))
            if (told := planner.explain(name, address, now)) is not None
        ]
        if not found:
            return fault("unknown", f"no forwarder has named server {address:.80}")
        return {"ok": True, "servers": found}


async def _run(config: PlannerConfig, control_path: str, err: TextIO) -> int:
    from sandhatch.control.errors import ControlError
    from sandhatch.control.server import ControlServer
    from sandhatch.planning.errors import BadKeyError
    from sandhatch.planning.keys import identity
    from sandhatch.planning.server import PlannerServer
    from sandhatch.planning.terms import PlannerTerms
    from sandhatch.runtime.address import parse_address
    from sandhatch.runtime.clock import Clock
    from sandhatch.runtime.logger import Logger, report_loop_errors
    from sandhatch.runtime.process import grant_descriptors, settle_collector, stop_event

    loop = asyncio.get_running_loop()
    stopping = stop_event(loop)
    logger = Logger(config.name)
    report_loop_errors(loop, logger)
    terms = PlannerTerms(
        lease_ms=config.lease_ms,
        lend_ms=config.lend_ms,
        look_ms=config.look_ms,
        lost_ms=config.lend_ms,
        enough=config.enough,
        most_holders=config.most_holders,
    )
    most = min(config.most_forwarders, grant_descriptors(config.most_forwarders + 64) - 64)
    try:
        who = identity(config.shared_key_file, config.private_key_file, config.forwarders)
        address = parse_address(config.listen, "listen")
        server = PlannerServer(
            config.name, address, who, Clock(loop), logger.line, terms, config.bytes_per_s, most
        )
        await server.start()
        control = ControlServer(PlannerCalls(server), logger, control_path)
        await control.start()
    except (BadKeyError, ControlError, OSError) as problem:
        print(f"sandhatch: {problem}", file=err)
        return FAILED
    settle_collector()
    logger.line(f"planner {config.name} at {address[0]}:{server.port}; control at {control_path}")
    await stopping.wait()
    await control.stop()
    server.stop()
    await asyncio.sleep(0.05)  # for the last words to leave
    return OK


# ------------------------------------------------ asking


def _status(args: argparse.Namespace, out: TextIO, err: TextIO) -> int:
    with Client(args.control, 60.0) as client:
        if args.explain is not None:
            answer = client.call("explain", server=args.explain, pool=args.pool)
        else:
            answer = client.call("status")
    if args.json:
        print(json.dumps(answer), file=out)
    elif not answer.get("ok"):
        print(f"sandhatch: {answer.get('why')}: {answer.get('text')}", file=err)
    elif args.explain is not None:
        for told in answer["servers"]:
            _print_explained(told, out)
    else:
        _print_status(answer, out)
    return OK if answer.get("ok") else FAILED


def _print_status(answer: dict[str, Any], out: TextIO) -> None:
    state = "learning: it grants nothing new yet" if answer["learning"] else "advising"
    print(f"planner {answer['name']}, epoch {answer['epoch']}: {state}", file=out)
    print(f"{answer['reports']} reports, {answer['turned_away']} sessions refused", file=out)
    pools = ("pool", "forwarders", "of", "servers", "cold", "weighed_down", "demand_per_s")
    print(table(answer["pools"], pools), file=out)
    forwarders = ("name", "heard_ms_ago", "advice", "taken", "conflict")
    print(table(answer["forwarders"], forwarders), file=out)


def _print_explained(told: dict[str, Any], out: TextIO) -> None:
    print(f"{told['server']} in {told['pool']}: listed by {told['listed_by']} forwarders", file=out)
    print(
        f"  weight {told['weight']:g}: {told['why']}"
        + (f", {told['ratio']:g} times the tier's" if told["ratio"] else ""),
        file=out,
    )
    print(
        f"  {told['outstanding']} calls out (mean {told['load']:g}), answers {told['slowness']:g} times the"
        f" usual, {100.0 * told['failing']:.1f} % failing, of {told['calls']:g} calls lately",
        file=out,
    )
    if told["cold"]:
        print(f"  cold: {100.0 * told['ramp_lent']:.1f} % of its ramp is lent to this planner", file=out)
        for name, part in sorted(told["ramp_granted"].items()):
            print(f"    {name}: {100.0 * part:.1f} %", file=out)
