"""Fixtures of the tests of a running service."""

from __future__ import annotations

import pytest


@pytest.fixture
def no_slow_attempts(monkeypatch: pytest.MonkeyPatch) -> None:
    """No attempt is given up as slow, however busy the machine is.

    The balancer gives up an idempotent attempt after a few times its class's mean latency, here some ten
    milliseconds, in favour of a retry. Where the test's process is not scheduled for that long, all attempts
    in flight end that way at once; the budget of retries is spent on some, and the others are rejected.
    """
    monkeypatch.setattr("sandhatch.balancing.policy.balancer.SLOW_FACTOR", 1e9)
