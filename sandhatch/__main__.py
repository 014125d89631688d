"""Start, signals and exit code of the platform's program; with a verb, the command line of `sandhatch.cli`.

Without a verb, none of the optional packages is imported.
"""

from __future__ import annotations

import asyncio
import signal
import sys

import uvloop

from sandhatch.config.platform import Config, load
from sandhatch.platform.program import PlatformProgram
from sandhatch.platform.reload import DiscoveryReload
from sandhatch.runtime.address import spell
from sandhatch.runtime.errors import ConfigError
from sandhatch.runtime.process import settle_collector, stop_event

EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2  # the file, a value in it, or the address to listen on


async def serve(config: Config) -> int:
    """Run the platform's program until SIGTERM or SIGINT; the exit code."""
    loop = asyncio.get_running_loop()
    stopping = stop_event(loop)
    program = PlatformProgram(config, loop)
    reload = DiscoveryReload(program.discovery, program.shared.logger)
    loop.add_signal_handler(signal.SIGHUP, reload.trigger)
    try:
        program.listener.start()
    except OSError as problem:
        print(f"sandhatch: listen: {spell(config.listen)}: {problem}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    program.discovery.start()
    settle_collector()
    await stopping.wait()
    await program.drain()
    return EXIT_OK


def main() -> int:
    """Run the program that the command line asks for; the exit code."""
    if len(sys.argv) > 1:
        # Imported here: a verb may need the optional packages.
        from sandhatch.cli.commands import main as run_verb

        return run_verb(sys.argv[1:])
    # Until the program can reload: the default action of SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load()
    except ConfigError as problem:
        print(f"sandhatch: {problem}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    return uvloop.run(serve(config))


if __name__ == "__main__":
    sys.exit(main())
