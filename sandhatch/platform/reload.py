"""Reload of the platform's program on SIGHUP: the discovery client moves to the configured address.

Other keys of the configuration file take effect at the next start. A file with errors changes nothing.
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
    """Reads the platform's configuration file again whenever `trigger` is called."""

    def __init__(self, discovery: Discovery, logger: Logger) -> None:
        """Creates a reload that moves `discovery` to the address in the configuration file."""
        self._discovery = discovery
        self._logger = logger
        self.trigger = CoalescingRunner(self._reload).trigger

    async def _reload(self) -> None:
        try:
            # On a thread, so that neither disk reads nor the validation of a long file delay requests.
            config = await asyncio.to_thread(load, is_reload=True)
        except ConfigError as error:
            self._logger.write_line(f"reload failed: {error}; the previous configuration stays in use")
            return
        self._logger.write_line(f"reload: discovery address is {format_address(config.discovery)}")
        self._discovery.relocate(config.discovery)
