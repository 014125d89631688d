"""The process of a service: saved versions, control socket, signals and shutdown.

Runs until a signal ends it. The service itself is in `sandhatch.service`.
"""

from __future__ import annotations

import argparse
import asyncio
import signal

from sandhatch.cli.console import Console, ExitCode
from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.errors import CheckError, HistoryError
from sandhatch.config.history import History, StoredState
from sandhatch.control.calls import Calls
from sandhatch.control.errors import ControlError
from sandhatch.control.server import ControlServer
from sandhatch.runtime.logger import report_loop_errors
from sandhatch.runtime.process import freeze_garbage_collector, resident_mb, shutdown_event
from sandhatch.service.access_log import AccessLog
from sandhatch.service.errors import StageError
from sandhatch.service.reload import Reload
from sandhatch.service.service import Service
from sandhatch.service.validation import check_data


async def serve(args: argparse.Namespace, checked: CheckedConfiguration, console: Console) -> int:
    """Run the service until a signal ends the process; return the exit code.

    Args:
        args: Parsed arguments of the verb `serve`.
        checked: Configuration from the file.
        console: Output for notes and errors at the start.
    """
    loop = asyncio.get_running_loop()
    stopping = shutdown_event(loop)
    try:
        service = _build_service(args, checked, console, loop)
        access_log = AccessLog(args.access_log, service) if args.access_log else None
        await service.start()
        control = ControlServer(Calls(service), service.logger, args.control)
        await control.start()
    except (HistoryError, ControlError, StageError, CheckError, OSError) as problem:
        console.error(problem)
        return ExitCode.FAILED
    loop.add_signal_handler(signal.SIGHUP, Reload(service, args.file).trigger)
    freeze_garbage_collector()
    service.shared.account_for_program(resident_mb())
    service.logger.write_line(
        f"version {service.lifecycle.active.number} is active; control socket at {args.control}"
    )
    await stopping.wait()
    await control.stop()
    await service.drain()
    if access_log is not None:
        access_log.close()
    return ExitCode.OK


def _build_service(
    args: argparse.Namespace, checked: CheckedConfiguration, console: Console, loop: asyncio.AbstractEventLoop
) -> Service:
    """Build the service with the version saved in the state directory, or else with that of the file."""
    history: History | None = None
    saved: StoredState | None = None
    if args.state:
        history = History(args.state)
        saved = history.load()
    if saved is not None:
        _report_saved(saved, args, console)
        checked = check_data(saved.data)
    service = Service(checked, loop, history, saved)
    report_loop_errors(loop, service.logger)
    return service


def _report_saved(saved: StoredState, args: argparse.Namespace, console: Console) -> None:
    for note in saved.notes:
        console.error(note)
    if saved.lost_version:
        console.error(
            f"version {saved.lost_version} was not confirmed before the last process ended; not used"
        )
    console.error(f"using saved version {saved.confirmed} of {args.state} instead of {args.file}")
