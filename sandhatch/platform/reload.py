"""Reload by SIGHUP of the platform's program: discovery is followed to the address in the file.

The other keys of the file count from the next start. A file with errors changes nothing.
"""

from __future__ import annotations

import asyncio

from sandhatch.config.platform import load
from sandhatch.discovery.client import Discovery
from sandhatch.runtime.address import format_address
from sandhatch.runtime.coalescing_runner import CoalescingRunner
from sandhatch.runtime.errors import ConfigError
from sandhatch.runtime.logger import Logger


class DiscoveryReload:
    """Reads the platform's configuration again whenever `trigger` is called."""

    def __init__(self, discovery: Discovery, logger: Logger) -> None:
        """Move `discovery` to the address that the file names."""
        self._discovery = discovery
        self._logger = logger
        self.trigger = CoalescingRunner(self._reload).trigger

    async def _reload(self) -> None:
        try:
            # On a thread: requests don't wait for a disk or for a long file to be checked.
            config = await asyncio.to_thread(load, is_reload=True)
        except ConfigError as problem:
            self._logger.line(f"reload: {problem}; the configuration read before stays in use")
            return
        self._logger.line(f"reload: discovery is {format_address(config.discovery)}")
        self._discovery.relocate(config.discovery)
