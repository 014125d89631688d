"""Calls that change the active version: commit, confirm, extend and rollback.

What a change may do is decided in `config.transactions`.
"""

from __future__ import annotations

from typing import Any

from sandhatch.config.version import Version
from sandhatch.control.call import Call
from sandhatch.control.version_row import version_row
from sandhatch.service.service import Service


class VersionCalls:
    """Each method answers one operation with the version's row, or raises RejectedError."""

    def __init__(self, service: Service) -> None:
        """Answer calls on the service."""
        self._service = service

    async def commit(self, call: Call) -> dict[str, Any]:
        """Change to a proposal; answer once it is active or has failed, with "wait" once it is decided."""
        wait = call.flag("wait", False)
        version = self._service.commit(
            call.integer("proposal"),
            call.optional_duration_ms("confirm_within_ms"),
            call.flag("watch", True),
        )
        return await self._settled_row(version, wait)

    async def confirm(self, call: Call) -> dict[str, Any]:
        """Confirm the pending version."""
        version = self._service.confirm(call.optional_integer("version"))
        return await self._settled_row(version, wait=True)

    async def extend(self, call: Call) -> dict[str, Any]:
        """Give the pending version more time to be confirmed."""
        within_ms = call.duration_ms("within_ms")
        version = self._service.extend(within_ms, call.optional_integer("version"))
        return version_row(version, self._service.now_ms)

    async def rollback(self, call: Call) -> dict[str, Any]:
        """Roll back the pending version, or to an earlier one."""
        version = self._service.rollback(call.author, call.optional_integer("to"))
        return await self._settled_row(version, call.flag("wait", False))

    async def _settled_row(self, version: Version, wait: bool) -> dict[str, Any]:
        await self._service.settled(version, over=wait)
        return version_row(version, self._service.now_ms)
