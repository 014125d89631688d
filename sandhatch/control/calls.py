"""What a call on the control socket does: its arguments checked, carried out on the service, and answered."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import yaml

from sandhatch.config.check import Checked
from sandhatch.config.diff import diff
from sandhatch.config.errors import Refusal, RejectedError
from sandhatch.config.version import Version
from sandhatch.service.service import Service, checked_text

MOST_TEXT = 500  # of a comment or a value shown


def _argument(call: dict[str, Any], key: str, kind: type, default: Any = ...) -> Any:
    value = call.get(key, default)
    if value is ...:
        raise RejectedError(Refusal.INVALID, f"{key} is wanted")
    if value is None and default is None:
        return None
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise RejectedError(Refusal.INVALID, f"{key}: {value!r:.60} is not of type {kind.__name__}")
    return value


def _duration(call: dict[str, Any], key: str, default: Any = ...) -> float | None:
    value: float | None = _argument(call, key, float, default)
    if value is not None and not 0.0 < value <= 86_400_000.0:
        raise RejectedError(
            Refusal.INVALID, f"{key}: {value:g} is not a time of up to a day, in milliseconds"
        )
    return value


def _unknown_keys(call: dict[str, Any], known: frozenset[str]) -> None:
    extra = sorted(call.keys() - known - {"op"})
    if extra:
        raise RejectedError(
            Refusal.INVALID, f"{extra[0]}: no such argument; there are: {', '.join(sorted(known))}"
        )


async def _checked(call: dict[str, Any]) -> Checked:
    """The call's text, checked on a thread: requests don't wait for a long file to be checked."""
    return await asyncio.to_thread(checked_text, _argument(call, "text", str).encode())


def version_row(version: Version, now_ms: float) -> dict[str, Any]:
    """A version for people and scripts. Times left in milliseconds."""
    row: dict[str, Any] = {
        "version": version.number,
        "base": version.base,
        "state": version.state.value,
        "author": version.author,
        "comment": version.comment,
        "changes": version.changes,
        "why": version.why,
    }
    if version.state.value == "in force":
        for key, at in (
            ("confirm_in_ms", version.confirm_by_ms),
            ("watch_ends_in_ms", version.watch_until_ms),
        ):
            if at is not None:
                row[key] = max(0, round(at - now_ms))
    return row


class Calls:
    """The operations by name. Each answers with a dictionary, or raises RefusedError."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._operations: dict[
            str, tuple[Callable[[dict[str, Any], str], Awaitable[dict[str, Any]]], frozenset[str]]
        ] = {
            "check": (self._check, frozenset(("text",))),
            "propose": (self._propose, frozenset(("text", "base", "comment", "merge"))),
            "diff": (self._diff, frozenset(("text", "proposal", "before", "after"))),
            "commit": (self._commit, frozenset(("proposal", "confirm_within_ms", "watch", "wait"))),
            "confirm": (self._confirm, frozenset(("version",))),
            "extend": (self._extend, frozenset(("within_ms", "version"))),
            "rollback": (self._rollback, frozenset(("to", "wait"))),
            "abort": (self._abort, frozenset(("proposal",))),
            "status": (self._status, frozenset()),
            "history": (self._history, frozenset()),
            "show": (self._show, frozenset(("version",))),
        }

    async def run(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        """The answer to a call, whatever it is."""
        try:
            name = call.get("op")
            found = self._operations.get(name) if isinstance(name, str) else None
            if found is None:
                there = ", ".join(self._operations)
                raise RejectedError(Refusal.INVALID, f"op: {name!r:.60} is none; there are: {there}")
            operation, known = found
            _unknown_keys(call, known)
            return {"ok": True} | await operation(call, author)
        except RejectedError as rejected:
            return {
                "ok": False,
                "why": rejected.why.value,
                "text": rejected.text,
                "keys": rejected.keys,
                "problems": rejected.problems,
            }

    async def _check(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        checked = await _checked(call)
        return {"warnings": [str(problem) for problem in checked.warnings]}

    async def _propose(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        base = _argument(call, "base", int, None)
        comment = _argument(call, "comment", str, "")[:MOST_TEXT]
        merge = _argument(call, "merge", bool, False)
        checked = await _checked(call)
        size = len(call["text"])
        proposal = self._service.propose_checked(checked, base, author, comment, merge, size)
        before = self._service.transactions.versions[proposal.base].data
        return {
            "proposal": proposal.number,
            "base": proposal.base,
            "changes": len(diff(before, proposal.checked.data)),
            "warnings": [str(problem) for problem in proposal.checked.warnings],
        }

    async def _diff(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        transactions = self._service.transactions
        before = self._data(_argument(call, "before", int, transactions.in_force.number))
        if "text" in call:
            after = (await _checked(call)).data
        elif "proposal" in call:
            proposal = transactions.proposals.get(_argument(call, "proposal", int))
            if proposal is None:
                raise RejectedError(Refusal.UNKNOWN, "there is no such proposal")
            after = proposal.checked.data
        else:
            after = self._data(_argument(call, "after", int))
        return {"changes": [f"{change!s:.{MOST_TEXT}}" for change in diff(before, after)]}

    def _data(self, number: int) -> dict[str, Any]:
        version = self._service.transactions.versions.get(number)
        if version is None:
            raise RejectedError(Refusal.UNKNOWN, f"there is no version {number}")
        return version.data

    async def _commit(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        wait = _argument(call, "wait", bool, False)
        version = self._service.commit(
            _argument(call, "proposal", int),
            _duration(call, "confirm_within_ms", None),
            _argument(call, "watch", bool, True),
        )
        return await self._ended(version, wait)

    async def _ended(self, version: Version, wait: bool) -> dict[str, Any]:
        await self._service.settled(version, over=wait)
        return version_row(version, self._service.now_ms)

    async def _confirm(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        return await self._ended(self._service.confirm(_argument(call, "version", int, None)), True)

    async def _extend(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        within = _duration(call, "within_ms")
        assert within is not None
        version = self._service.extend(within, _argument(call, "version", int, None))
        return version_row(version, self._service.now_ms)

    async def _rollback(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        version = self._service.rollback(author, _argument(call, "to", int, None))
        return await self._ended(version, _argument(call, "wait", bool, False))

    async def _abort(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        self._service.discard(_argument(call, "proposal", int))
        return {}

    async def _status(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        service = self._service
        transactions = service.transactions
        pending = transactions.pending
        return {
            "name": service.shared.name,
            "in_force": transactions.in_force.number,
            "confirmed": transactions.confirmed.number,
            "pending": version_row(pending, service.now_ms) if pending else None,
            "ready": service.front.ready,
            "versions": {str(number): running.open for number, running in service.running.items()},
            "pools": service.pools.status(),
            "bodies": service.shared.flows.told(),
            "listeners": [
                {"name": listener.name, "address": key, "connections": listener.connections}
                for key, listener in service.listeners.items()
            ],
            "proposals": [
                {"proposal": item.number, "base": item.base, "author": item.author, "comment": item.comment}
                for item in transactions.proposals.values()
            ],
            "planning": service.forwarding.status(),
            "memory": {
                "held_bytes": service.shared.memory_budget.used,
                "most_bytes": service.shared.memory_budget.most,
            },
        }

    async def _history(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        return {"versions": self._service.rows()}

    async def _show(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        number = _argument(call, "version", int, self._service.transactions.in_force.number)
        return {"version": number, "text": yaml.safe_dump(self._data(number), sort_keys=False)}
