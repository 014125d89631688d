"""The wait for a condition that sets no event."""

from __future__ import annotations

import asyncio

import pytest

from testkit.polling import wait_until


def test_the_wait_ends_once_the_condition_holds() -> None:
    looks = 0

    def holds_at_the_third_look() -> bool:
        nonlocal looks
        looks += 1
        return looks == 3

    asyncio.run(wait_until(holds_at_the_third_look))
    assert looks == 3


def test_a_condition_that_never_holds_ends_the_wait_with_a_timeout() -> None:
    with pytest.raises(TimeoutError, match=r"not within 0\.05 s: the server is ready"):
        asyncio.run(wait_until(lambda: False, "the server is ready", timeout_s=0.05))
