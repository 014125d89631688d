"""Operations that only read: status, history and show."""

from __future__ import annotations

from typing import Any

import yaml

from sandhatch.control.call import Call
from sandhatch.control.version_row import version_row
from sandhatch.service.service import Service

SHOWN_FINGERPRINT_DIGITS = 8


class StatusCalls:
    """Each method runs one operation, or raises RejectedError; response keys are set by the protocol."""

    def __init__(self, service: Service) -> None:
        """Serve calls on the service."""
        self._service = service

    async def status(self, _call: Call) -> dict[str, Any]:
        """Return the state of the process: versions, pools, listeners, proposals, planners and memory."""
        service = self._service
        lifecycle = service.lifecycle
        pending = lifecycle.pending
        return {
            "name": service.shared.name,
            "in_force": lifecycle.active.number,
            "confirmed": lifecycle.confirmed.number,
            "pending": version_row(pending, service.now_ms) if pending else None,
            "ready": service.request_handler.ready,
            "versions": {str(number): version.open_requests for number, version in service.running.items()},
            "pools": self._pool_rows(),
            "bodies": service.shared.flow_statistics.snapshot(),
            "listeners": self._listener_rows(),
            "proposals": self._proposal_rows(),
            "planning": service.forwarding.status(),
            "memory": {
                "held_bytes": service.shared.memory_budget.used_bytes,
                "most_bytes": service.shared.memory_budget.limit_bytes,
            },
        }

    def _pool_rows(self) -> dict[str, Any]:
        """Return each pool's state for the response, by the first digits of its configuration's hash."""
        return {
            pool.fingerprint[:SHOWN_FINGERPRINT_DIGITS]: {
                "pool": pool.name,
                "versions": pool.versions,
                "ready": pool.ready_servers,
                "servers": pool.servers,
                "connections": pool.connections,
                "requests": pool.requests,
            }
            for pool in self._service.pools.status()
        }

    def _listener_rows(self) -> list[dict[str, Any]]:
        return [
            {"name": listener.name, "address": key, "connections": listener.connection_count}
            for key, listener in self._service.listeners.items()
        ]

    def _proposal_rows(self) -> list[dict[str, Any]]:
        return [
            {
                "proposal": proposal.number,
                "base": proposal.base,
                "author": proposal.author,
                "comment": proposal.comment,
            }
            for proposal in self._service.transactions.proposals.values()
        ]

    async def history(self, _call: Call) -> dict[str, Any]:
        """Return the history of versions, oldest first."""
        return {"versions": [row.to_data() for row in self._service.history_rows()]}

    async def show(self, call: Call) -> dict[str, Any]:
        """Return a version's configuration as YAML; the active version's if no version is named."""
        number = call.integer("version", self._service.lifecycle.active.number)
        data = self._service.version_data(number)
        return {"version": number, "text": yaml.safe_dump(data, sort_keys=False)}
