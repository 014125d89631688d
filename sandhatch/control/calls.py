"""Dispatch of calls on a service's control socket to their operations.

Each group of operations has a module. Names of operations, arguments and response keys are part of the
control protocol.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from sandhatch.config.errors import RejectedError, RejectionReason
from sandhatch.control.call import Call
from sandhatch.control.proposal_calls import ProposalCalls
from sandhatch.control.status_calls import StatusCalls
from sandhatch.control.version_calls import VersionCalls
from sandhatch.service.service import Service


@dataclass(frozen=True, slots=True)
class Operation:
    """An operation of the control protocol.

    Attributes:
        run: Function that returns the response to a call, or raises RejectedError.
        arguments: Names of the arguments that the operation takes.
    """

    run: Callable[[Call], Awaitable[dict[str, Any]]]
    arguments: frozenset[str] = frozenset()


class Calls:
    """The operations of a service by name."""

    def __init__(self, service: Service) -> None:
        """Serve calls on the service."""
        proposals = ProposalCalls(service)
        versions = VersionCalls(service)
        status = StatusCalls(service)
        self._operations = {
            "check": Operation(proposals.check, frozenset(("text",))),
            "propose": Operation(proposals.propose, frozenset(("text", "base", "comment", "merge"))),
            "diff": Operation(proposals.diff, frozenset(("text", "proposal", "before", "after"))),
            "commit": Operation(
                versions.commit, frozenset(("proposal", "confirm_within_ms", "watch", "wait"))
            ),
            "confirm": Operation(versions.confirm, frozenset(("version",))),
            "extend": Operation(versions.extend, frozenset(("within_ms", "version"))),
            "rollback": Operation(versions.rollback, frozenset(("to", "wait"))),
            "abort": Operation(proposals.abort, frozenset(("proposal",))),
            "status": Operation(status.status),
            "history": Operation(status.history),
            "show": Operation(status.show, frozenset(("version",))),
        }

    async def run(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        """Return the response to a call, whether it succeeds or is rejected."""
        try:
            operation = self._operation(call.get("op"))
            arguments = {key: value for key, value in call.items() if key != "op"}
            typed_call = Call(author, arguments)
            typed_call.reject_unknown_arguments(operation.arguments)
            return {"ok": True} | await operation.run(typed_call)
        except RejectedError as rejected:
            return {
                "ok": False,
                "why": rejected.reason.value,
                "text": rejected.text,
                "keys": rejected.keys,
                "problems": rejected.problems,
            }

    def _operation(self, name: object) -> Operation:
        operation = self._operations.get(name) if isinstance(name, str) else None
        if operation is None:
            known = ", ".join(self._operations)
            raise RejectedError(
                RejectionReason.INVALID, f"op: unknown operation {name!r:.60}; known operations: {known}"
            )
        return operation
