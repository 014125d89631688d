"""Start, signals and exit code of one real balancer; with a verb, the command line of `sandhatch.cli`."""

from __future__ import annotations

import asyncio
import signal
import sys

import uvloop

from sandhatch.config.platform import Config, load
from sandhatch.platform.graceful_shutdown import drain
from sandhatch.platform.program import PlatformProgram
from sandhatch.runtime.address import ConfigError
from sandhatch.runtime.coalescing_runner import CoalescingRunner
from sandhatch.runtime.process import settle_collector, stop_event


class Reload:
    """SIGHUP: the file is read again, and discovery is followed to the address that it names. The other keys
    count from the next start.
    """

    def __init__(self, single: PlatformProgram) -> None:
        self._logger = single.shared.logger
        self._discovery = single.discovery
        self.ask = CoalescingRunner(self._read).trigger

    async def _read(self) -> None:
        try:
            # On a thread: requests don't wait for a disk or for a long file to be checked.
            config = await asyncio.to_thread(load, again=True)
        except ConfigError as problem:
            self._logger.line(f"reload: {problem}; what was read before stays")
            return
        self._logger.line(f"reload: discovery is {config.discovery[0]}:{config.discovery[1]}")
        self._discovery.move(config.discovery)


async def serve(config: Config) -> int:
    loop = asyncio.get_running_loop()
    stopping = stop_event(loop)
    single = PlatformProgram(config, loop)
    loop.add_signal_handler(signal.SIGHUP, Reload(single).ask)
    try:
        single.listener.start()
    except OSError as problem:
        print(f"sandhatch: listen: {config.listen[0]}:{config.listen[1]}: {problem}", file=sys.stderr)
        return 2
    single.dispatcher.source.start()
    settle_collector()
    await stopping.wait()
    longest_ms = max(item.deadline_ms for item in config.settings.classes)
    single.last_call.begin(longest_ms)
    await drain(single.shared.clock, [single.listener], lambda: single.dispatcher.unanswered, longest_ms)
    single.dispatcher.source.stop()
    single.dispatcher.connection_pool.close()
    return 0


def main() -> int:
    if len(sys.argv) > 1:  # a verb; what it needs beyond the platform's program is loaded only then
        from sandhatch.cli.commands import main as command

        return command(sys.argv[1:])
    # Until there is something to tell of a new configuration: the default would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load()
    except ConfigError as problem:
        print(f"sandhatch: {problem}", file=sys.stderr)
        return 2
    return uvloop.run(serve(config))


if __name__ == "__main__":
    sys.exit(main())
