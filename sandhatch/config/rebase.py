"""A proposal brought onto the version that is active now.

If its base is the active version, it stands as it is; else it is merged with what became active since, and
the result is checked in full. It decides nothing on the state of a version. Source: `transactions`.
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
        proposal: The change.
        base: The version that it was made from.
        active: The version that is active now.
        check: Checks merged data in full; raises CheckError.

    Raises:
        RejectedError: CONFLICT, if both change the same keys, if the proposal does not ask to be merged, or
            if the result of the merge has errors.
    """
    if base is active:
        return proposal.checked
    try:
        data = merge(base.data, proposal.checked.data, active.data)
    except MergeError as problem:
        raise conflict(proposal, active, problem.keys) from None
    if not proposal.merge:
        raise conflict(proposal, active, [])
    try:
        return check(data)
    except CheckError as failure:
        lines = [str(problem) for problem in failure.problems]
        raise RejectedError(
            RejectionReason.CONFLICT, f"merged with version {active.number} it has errors", problems=lines
        ) from None


def conflict(proposal: Proposal, other: Version, keys: list[str]) -> RejectedError:
    """Return the error for a proposal that conflicts with another version in these keys, if in any."""
    shown = ", ".join(keys[:MAX_KEYS_IN_TEXT])
    advice = f"both touch {shown}" if keys else "it can be merged"
    text = f"made from version {proposal.base}, but version {other.number} is {other.state.value}; {advice}"
    return RejectedError(RejectionReason.CONFLICT, text, keys)
