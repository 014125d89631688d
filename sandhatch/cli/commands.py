"""The command line: `sandhatch VERB`. Without a verb the platform's program runs, and none of this is loaded.

Exit codes: 0 done; 1 the configuration has errors, or the change failed or was taken back; 2 wrong usage; 3
no service answers at the control socket; 4 the change conflicts with another; 5 another change is on its
way, try again later.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable, Sequence
from typing import Any, TextIO

from sandhatch.cli.messages import warn
from sandhatch.cli.planner import add_planner_verbs, run_planner_verb
from sandhatch.config.check import Checked, check_file, check_text
from sandhatch.config.document import CheckError, Problem, read_bytes
from sandhatch.control.client import Client
from sandhatch.control.errors import UnreachableError
from sandhatch.runtime.environment import renamed_variable
from sandhatch.runtime.text_table import table

OK, FAILED, USAGE, UNREACHABLE, CONFLICT, BUSY = range(6)
CODES = {"conflict": CONFLICT, "busy": BUSY, "too many proposals": BUSY}
CONTROL = "sandhatch.sock"


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sandhatch", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    verbs = parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    default = renamed_variable(os.environ, "CONTROL", warn) or CONTROL

    def verb(name: str, text: str, control: bool = True) -> argparse.ArgumentParser:
        sub = verbs.add_parser(name, help=text, description=text)
        if control:
            sub.add_argument(
                "--control", default=default, metavar="PATH", help="control socket (%(default)s)"
            )
        sub.add_argument("--json", action="store_true", help="the answer as one JSON object")
        return sub

    serve = verb("serve", "run with a configuration of its own")
    serve.add_argument("file", help="configuration; where --state holds a version, that goes first")
    serve.add_argument("--state", metavar="DIR", help="keep versions on a disk that lasts")
    serve.add_argument("--access-log", metavar="FILE", help="one JSON line a request")
    verb("check", "check a configuration without starting", control=False).add_argument("file")
    propose = verb("propose", "check a change and keep it for a commit")
    propose.add_argument("file")
    propose.add_argument("--base", type=int, metavar="VERSION", help="the version that it was made from")
    propose.add_argument("--comment", default="")
    propose.add_argument(
        "--merge", action="store_true", help="fit it to what came since, where no key is in common"
    )
    changes = verb("diff", "keys that differ from the version in force")
    changes.add_argument("file", nargs="?")
    changes.add_argument("--proposal", type=int)
    changes.add_argument("--before", type=int, metavar="VERSION")
    changes.add_argument("--after", type=int, metavar="VERSION")
    commit = verb("commit", "apply a proposal to all traffic")
    commit.add_argument("proposal", type=int)
    commit.add_argument("--confirm-within", type=float, metavar="SECONDS", help="else it is taken back")
    commit.add_argument("--no-watch", action="store_true", help="do not compare the service yielded")
    commit.add_argument("--wait", action="store_true", help="until it is confirmed or taken back")
    verb("confirm", "keep the version in force").add_argument("version", type=int, nargs="?")
    extend = verb("extend", "put off the time to confirm")
    extend.add_argument("seconds", type=float)
    rollback = verb("rollback", "go back to the version before, or to a named one")
    rollback.add_argument("--to", type=int, metavar="VERSION")
    verb("abort", "forget a proposal").add_argument("proposal", type=int)
    verb("status", "what is in force and on its way")
    verb("history", "versions and what became of them")
    verb("show", "a version's configuration").add_argument("version", type=int, nargs="?")
    add_planner_verbs(verb)
    verb("demo", "stand-ins, traffic and a change under it, on loopback", control=False)
    return parser


def main(arguments: Sequence[str], out: TextIO | None = None, err: TextIO | None = None) -> int:
    out, err = out or sys.stdout, err or sys.stderr
    try:
        args = _parser().parse_args(arguments)
    except SystemExit as leaving:
        return int(leaving.code or 0)
    if args.verb == "demo":
        return subprocess.call([sys.executable, "-m", "testkit.demo"])
    try:
        if args.verb == "serve":
            return serve(args, err)
        if args.verb == "check":
            return _check(args, out, err)
        if args.verb == "planner":
            return run_planner_verb(args, out, err)
        return _remote(args, out, err)
    except UnreachableError as problem:
        print(f"sandhatch: {problem}", file=err)
        return UNREACHABLE


# ------------------------------------------------ checking


def _check(args: argparse.Namespace, out: TextIO, err: TextIO) -> int:
    try:
        problems, valid = list(check_file(args.file).warnings), True
    except CheckError as failure:
        problems, valid = failure.problems, False
    if args.json:
        rows = [
            {"file": p.file, "line": p.line, "key": p.key, "text": p.text, "warning": p.warning}
            for p in problems
        ]
        print(json.dumps({"ok": valid, "problems": rows}), file=out)
    else:
        for problem in problems:
            print(problem, file=err)
        if valid:
            print(f"{args.file}: configuration is valid", file=out)
    return OK if valid else FAILED


# ------------------------------------------------ calls on a running service


def _read_text(path: str) -> str:
    """The file's text, refused here if it has errors, so that these name the file and its lines."""
    data = read_bytes(path)
    check_text(data, path)
    try:
        return data.decode()
    except UnicodeDecodeError as problem:
        raise CheckError([Problem(path, 0, "", f"not UTF-8: {problem.reason}")]) from None


def _arguments(args: argparse.Namespace) -> dict[str, Any]:
    verb = args.verb
    if verb == "propose":
        text = _read_text(args.file)
        return {"text": text, "base": args.base, "comment": args.comment, "merge": args.merge}
    if verb == "diff":
        given = _read_text(args.file) if args.file else None
        return {"text": given, "proposal": args.proposal, "before": args.before, "after": args.after}
    if verb == "commit":
        within = None if args.confirm_within is None else args.confirm_within * 1000.0
        return {
            "proposal": args.proposal,
            "confirm_within_ms": within,
            "watch": not args.no_watch,
            "wait": args.wait,
        }
    if verb == "extend":
        return {"within_ms": args.seconds * 1000.0}
    return {key: getattr(args, key) for key in ("version", "to", "proposal") if hasattr(args, key)}


def _remote(args: argparse.Namespace, out: TextIO, err: TextIO) -> int:
    try:
        arguments = _arguments(args)
    except CheckError as failure:
        if args.json:
            print(
                json.dumps({"ok": False, "why": "invalid", "problems": list(map(str, failure.problems))}),
                file=out,
            )
        else:
            for problem in failure.problems:
                print(problem, file=err)
        return FAILED
    patience = 86_400.0 if getattr(args, "wait", False) else 60.0
    with Client(args.control, patience) as client:
        answer = client.call(args.verb, **arguments)
    code = _code(args.verb, answer)
    if args.json:
        print(json.dumps(answer), file=out)
    elif answer.get("ok"):
        PRINTERS[args.verb](answer, out, err)
    else:
        print(f"sandhatch: {answer.get('why')}: {answer.get('text')}", file=err)
        for line in answer.get("problems", []):
            print(line, file=err)
    return code


def _code(verb: str, answer: dict[str, Any]) -> int:
    if not answer.get("ok"):
        return CODES.get(str(answer.get("why")), FAILED)
    ended = answer.get("state") if verb in ("commit", "confirm") else None
    return FAILED if ended in ("failed", "taken back", "lost") else OK


def _print_version(answer: dict[str, Any], out: TextIO, err: TextIO) -> None:
    print(f"version {answer['version']}: {answer['state']}", file=out)
    if answer.get("why"):
        print(answer["why"], file=err)
    for key, text in (
        ("confirm_in_ms", "taken back unless confirmed in"),
        ("watch_ends_in_ms", "watched for"),
    ):
        if key in answer:
            print(f"{text} {answer[key] / 1000.0:.1f} s", file=out)


def _print_proposal(answer: dict[str, Any], out: TextIO, err: TextIO) -> None:
    for line in answer["warnings"]:
        print(line, file=err)
    print(
        f"proposal {answer['proposal']}: {answer['changes']} keys differ from version {answer['base']}",
        file=out,
    )


def _print_status(answer: dict[str, Any], out: TextIO, err: TextIO) -> None:
    print(
        f"{answer['name']}: version {answer['in_force']} in force, {answer['confirmed']} confirmed", file=out
    )
    if answer["pending"]:
        _print_version(answer["pending"], out, err)
    pools = [{"content": content} | row for content, row in answer["pools"].items()]
    columns = ("pool", "content", "versions", "ready", "servers", "connections", "requests")
    print(table(pools, columns), file=out)
    print(table(answer["listeners"], ("name", "address", "connections")), file=out)
    bodies, memory = answer["bodies"], answer["memory"]
    print(
        f"bodies in passing: {bodies['open']}, at most {bodies['most_open']} at once, {bodies['bytes']} bytes"
        f" so far; one held at most {bodies['peak_bytes']}; {memory['held_bytes']} of"
        f" {memory['most_bytes']} bytes of memory in use",
        file=out,
    )
    if answer["planning"]:
        _print_planning(answer["planning"], out)
    if answer["proposals"]:
        print(table(answer["proposals"], ("proposal", "base", "author", "comment")), file=out)


def _print_planning(planning: dict[str, Any], out: TextIO) -> None:
    leased = planning["lends_to"]
    if leased is None:
        ends = planning["own_parts_in_ms"]
        print(f"{planning['forwarder']}: uses its own parts" + (f" in {ends} ms" if ends else ""), file=out)
    else:
        print(f"{planning['forwarder']}: its parts are lent to planner {leased}", file=out)
    columns = ("planner", "state", "advice_counts", "learning", "advices", "late", "refused", "last")
    print(table(planning["planners"], columns), file=out)


def _print_history(answer: dict[str, Any], out: TextIO, err: TextIO) -> None:
    print(
        table(answer["versions"], ("version", "base", "state", "changes", "author", "comment", "why")),
        file=out,
    )


PRINTERS: dict[str, Callable[[dict[str, Any], TextIO, TextIO], None]] = {
    "propose": _print_proposal,
    "commit": _print_version,
    "confirm": _print_version,
    "extend": _print_version,
    "rollback": _print_version,
    "status": _print_status,
    "history": _print_history,
    "diff": lambda answer, out, err: print("\n".join(answer["changes"]) or "no key differs", file=out),
    "show": lambda answer, out, err: print(answer["text"], end="", file=out),
    "abort": lambda answer, out, err: print("forgotten", file=out),
}


# ------------------------------------------------ serving


def serve(args: argparse.Namespace, err: TextIO) -> int:
    import uvloop

    try:
        checked = check_file(args.file)
    except CheckError as failure:
        for problem in failure.problems:
            print(problem, file=err)
        return FAILED
    for problem in checked.warnings:
        print(problem, file=err)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    return uvloop.run(_serve(args, checked, err))


async def _serve(args: argparse.Namespace, checked: Checked, err: TextIO) -> int:
    from sandhatch.config.history import History, HistoryError
    from sandhatch.control.calls import Calls
    from sandhatch.control.errors import ControlError
    from sandhatch.control.server import ControlServer
    from sandhatch.runtime.logger import report_loop_errors
    from sandhatch.runtime.process import settle_collector, stop_event
    from sandhatch.service.access_log import AccessLog
    from sandhatch.service.errors import StageError
    from sandhatch.service.reload import Reload
    from sandhatch.service.service import Service
    from sandhatch.service.validation import check_data

    loop = asyncio.get_running_loop()
    stopping = stop_event(loop)
    history = saved = None
    try:
        if args.state:
            history = History(args.state)
            saved = history.load()
        if saved is not None:
            for note in saved.notes:
                print(f"sandhatch: {note}", file=err)
            if saved.lost:
                print(f"sandhatch: version {saved.lost} was not confirmed and is not used", file=err)
            print(f"sandhatch: version {saved.confirmed} of {args.state} goes before {args.file}", file=err)
            checked = check_data(saved.data)
        service = Service(checked, loop, history, saved)
        report_loop_errors(loop, service.logger)
        log = AccessLog(args.access_log, service) if args.access_log else None
        await service.start()
        control = ControlServer(Calls(service), service.logger, args.control)
        await control.start()
    except (HistoryError, ControlError, StageError, CheckError, OSError) as problem:
        print(f"sandhatch: {problem}", file=err)
        return FAILED
    loop.add_signal_handler(signal.SIGHUP, Reload(service, args.file).ask)
    settle_collector()
    service.logger.line(f"version {service.transactions.in_force.number} in force; control at {args.control}")
    await stopping.wait()
    await control.stop()
    await service.drain()
    if log is not None:
        log.close()
    return OK
