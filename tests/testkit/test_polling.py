"""Polling of a condition for which there is no event."""

from __future__ import annotations

import asyncio

import pytest

from testkit.polling import wait_until


def test_wait_ends_once_the_condition_holds() -> None:
    checks = 0

    def holds_at_third_check() -> bool:
        nonlocal checks
        checks += 1
        return checks == 3

    asyncio.run(wait_until(holds_at_third_check))
    assert checks == 3


def test_wait_for_a_condition_that_never_holds_times_out() -> None:
    with pytest.raises(TimeoutError, match=r"timed out after 0\.05 s waiting for: the server is ready"):
        asyncio.run(wait_until(lambda: False, "the server is ready", timeout_s=0.05))
