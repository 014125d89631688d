"""Runs a test's coroutine on the event loop that the program uses, with a limit on its time."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import uvloop

TEST_LIMIT_S = 60


def run(work: Coroutine[Any, Any, None]) -> None:
    """Run a test to its end, or fail it after `TEST_LIMIT_S`."""
    uvloop.run(asyncio.wait_for(work, TEST_LIMIT_S))
