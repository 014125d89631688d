"""Rebase of a proposal onto the active version.

A proposal whose base is active is left as it is; any other is merged with the changes since its base, and the
result is checked in full. The states of versions are not changed here. Used by `transactions`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.diff import merge
from sandhatch.config.errors import CheckError, MergeError, RejectedError, RejectionReason
from sandhatch.config.proposals import Proposal
from sandhatch.config.version import Version

MAX_KEYS_IN_TEXT = 8

CheckFunction = Callable[[dict[str, Any]], CheckedConfiguration]


def rebase(proposal: Proposal, base: Version, active: Version, check: CheckFunction) -> CheckedConfiguration:
    """Return the configuration that the proposal would activate now.

    Args:
        proposal: Change to rebase.
        base: Version that the change is based on.
        active: Version that is active now.
        check: Function that checks merged data in full; raises CheckError.

    Raises:
        RejectedError: CONFLICT, if the base is not active and the changes of the proposal and of the active
            version conflict, the proposal does not allow a merge, or the result of the merge has errors.
    """
    if base is active:
        return proposal.checked
    try:
        data = merge(base.data, proposal.checked.data, active.data)
    except MergeError as problem:
        raise conflict(proposal, active, problem.keys) from None
    if not proposal.may_merge:
        raise conflict(proposal, active, [])
    try:
        return check(data)
    except CheckError as failure:
        lines = [str(problem) for problem in failure.problems]
        raise RejectedError(
            RejectionReason.CONFLICT, f"the merge with version {active.number} has errors", problems=lines
        ) from None


def conflict(proposal: Proposal, other: Version, keys: list[str]) -> RejectedError:
    """Return the error for a proposal that conflicts with another version; `keys` may be empty."""
    shown = ", ".join(keys[:MAX_KEYS_IN_TEXT])
    advice = f"both change {shown}" if keys else "the proposal can be merged"
    text = f"based on version {proposal.base}, but version {other.number} is {other.state.value}; {advice}"
    return RejectedError(RejectionReason.CONFLICT, text, keys)
