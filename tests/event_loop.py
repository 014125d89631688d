"""Runs a test's coroutine on the program's event loop implementation, with a time limit."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import uvloop

TEST_LIMIT_S = 60


def run(scenario: Coroutine[Any, Any, None]) -> None:
    """Runs a test's coroutine to its end, or fails the test after `TEST_LIMIT_S`."""
    uvloop.run(asyncio.wait_for(scenario, TEST_LIMIT_S))
