"""Fixtures of the tests of a running service."""

from __future__ import annotations

import pytest


@pytest.fixture
def no_slow_attempts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep the balancer from abandoning slow attempts, however busy the machine is.

    The balancer abandons an idempotent attempt after a few times its class's mean latency, here some ten
    milliseconds, in favour of a retry. If the test's process is not scheduled for that long, all attempts in
    flight are abandoned at once; some use up the retry budget, and the requests of the other attempts are
    rejected.
    """
    monkeypatch.setattr("sandhatch.balancing.policy.balancer.SLOW_FACTOR", 1e9)
