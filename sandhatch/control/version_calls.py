"""Operations that change the active version: commit, confirm, extend and rollback.

`config.transactions` decides which changes are permitted.
"""

from __future__ import annotations

from typing import Any

from sandhatch.config.version import Version
from sandhatch.control.call import Call
from sandhatch.control.version_row import version_row
from sandhatch.service.service import Service


class VersionCalls:
    """Each method runs one operation and returns the version's response row, or raises RejectedError."""

    def __init__(self, service: Service) -> None:
        """Serve calls on the service."""
        self._service = service

    async def commit(self, call: Call) -> dict[str, Any]:
        """Turn a proposal into a version and activate it.

        Responds once the version is active or has failed; with "wait", once its state is final (confirmed,
        failed or rolled back).
        """
        wait = call.flag("wait", False)
        version = self._service.commit(
            call.integer("proposal"),
            call.optional_duration_ms("confirm_within_ms"),
            call.flag("watch", True),
        )
        return await self._row_when_decided(version, wait)

    async def confirm(self, call: Call) -> dict[str, Any]:
        """Confirm the pending version; respond once its state is final."""
        version = self._service.confirm(call.optional_integer("version"))
        return await self._row_when_decided(version, wait=True)

    async def extend(self, call: Call) -> dict[str, Any]:
        """Set the time that is left to confirm the pending version."""
        within_ms = call.duration_ms("within_ms")
        version = self._service.extend(within_ms, call.optional_integer("version"))
        return version_row(version, self._service.now_ms)

    async def rollback(self, call: Call) -> dict[str, Any]:
        """Roll back the pending version, or commit an earlier version's configuration as a new version."""
        version = self._service.rollback(call.author, call.optional_integer("to"))
        return await self._row_when_decided(version, call.flag("wait", False))

    async def _row_when_decided(self, version: Version, wait: bool) -> dict[str, Any]:
        await self._service.wait_until_decided(version, until_terminal=wait)
        return version_row(version, self._service.now_ms)
