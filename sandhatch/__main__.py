"""Entry point: the platform's program without arguments, the command line of `sandhatch.cli` with a verb.

This module handles the program's start-up, signals and exit codes. Without a verb, none of the optional
packages is imported.
"""

from __future__ import annotations

import asyncio
import signal
import sys

import uvloop

from sandhatch.config.platform import PlatformConfig, load
from sandhatch.platform.program import PlatformProgram
from sandhatch.platform.reload import DiscoveryReload
from sandhatch.runtime.address import format_address
from sandhatch.runtime.errors import ConfigError
from sandhatch.runtime.process import freeze_garbage_collector, resident_mb, shutdown_event

EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2  # unreadable file, invalid value, or an address that can't be listened on


async def serve(config: PlatformConfig) -> int:
    """Runs the platform's program until SIGTERM or SIGINT; returns the exit code."""
    loop = asyncio.get_running_loop()
    shutdown_requested = shutdown_event(loop)
    program = PlatformProgram(config, loop)
    reload = DiscoveryReload(program.discovery, program.shared.logger)
    loop.add_signal_handler(signal.SIGHUP, reload.trigger)
    try:
        program.listener.start()
    except OSError as error:
        print(f"sandhatch: listen: {format_address(config.listen)}: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    program.discovery.start()
    freeze_garbage_collector()
    program.shared.account_for_program(resident_mb())
    await shutdown_requested.wait()
    await program.drain()
    return EXIT_OK


def main() -> int:
    """Runs the program or the verb on the command line; returns the exit code."""
    if len(sys.argv) > 1:
        # Imported only here, because a verb may need the optional packages.
        from sandhatch.cli.commands import main as run_command

        return run_command(sys.argv[1:])
    # SIGHUP is ignored until the program can reload; its default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load()
    except ConfigError as error:
        print(f"sandhatch: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    return uvloop.run(serve(config))


if __name__ == "__main__":
    sys.exit(main())
