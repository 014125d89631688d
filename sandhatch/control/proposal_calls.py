"""Operations on configurations that are not active yet: check, propose, diff and abort.

`config.check` and `config.transactions` decide which proposals are accepted.
"""

from __future__ import annotations

import asyncio
from typing import Any

from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.diff import diff
from sandhatch.config.errors import RejectedError, RejectionReason
from sandhatch.control.call import Call
from sandhatch.service.service import Service
from sandhatch.service.validation import check_proposed_text

MAX_SHOWN_CHARS = 500  # maximum length of a comment or a changed value in a response


class ProposalCalls:
    """Each method runs one operation, or raises RejectedError; response keys are set by the protocol."""

    def __init__(self, service: Service) -> None:
        """Serve calls on the service."""
        self._service = service

    async def check(self, call: Call) -> dict[str, Any]:
        """Check a configuration's text."""
        checked_configuration = await _check_text(call.text("text"))
        return {"warnings": [str(problem) for problem in checked_configuration.warnings]}

    async def propose(self, call: Call) -> dict[str, Any]:
        """Check a configuration's text and retain it as a proposal."""
        base = call.optional_integer("base")
        comment = call.text("comment", "")[:MAX_SHOWN_CHARS]
        merge = call.flag("merge", False)
        text = call.text("text")
        checked_configuration = await _check_text(text)
        proposal = self._service.propose_checked(
            checked_configuration, base, call.author, comment, merge, len(text)
        )
        base_data = self._service.lifecycle.versions[proposal.base].data
        return {
            "proposal": proposal.number,
            "base": proposal.base,
            "changes": len(diff(base_data, proposal.checked.data)),
            "warnings": [str(problem) for problem in proposal.checked.warnings],
        }

    async def diff(self, call: Call) -> dict[str, Any]:
        """Compare a version with a text, a proposal or another version."""
        transactions = self._service.transactions
        before = self._service.version_data(call.integer("before", transactions.active.number))
        after = await self._data_to_compare(call)
        return {"changes": [f"{change!s:.{MAX_SHOWN_CHARS}}" for change in diff(before, after)]}

    async def _data_to_compare(self, call: Call) -> dict[str, Any]:
        if "text" in call.arguments:
            return (await _check_text(call.text("text"))).data
        if "proposal" in call.arguments:
            proposal = self._service.transactions.proposals.get(call.integer("proposal"))
            if proposal is None:
                raise RejectedError(RejectionReason.UNKNOWN, "there is no such proposal")
            return proposal.checked.data
        return self._service.version_data(call.integer("after"))

    async def abort(self, call: Call) -> dict[str, Any]:
        """Discard a proposal."""
        self._service.discard(call.integer("proposal"))
        return {}


async def _check_text(text: str) -> CheckedConfiguration:
    """Check a text on a thread, so that a long text delays no request."""
    return await asyncio.to_thread(check_proposed_text, text.encode())
