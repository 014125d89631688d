"""Settings and drivers shared by the policy tests."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from sandhatch.balancing.actions import Action, Send
from sandhatch.balancing.events import ListKind, ServerEntry
from sandhatch.balancing.settings import Effect, ReportMode, RequestClass, Settings
from tests.balancing.driver import Driver

IDEMPOTENT = RequestClass(100.0, 400.0, Effect.IDEMPOTENT)
NON_IDEMPOTENT = RequestClass(100.0, 400.0, Effect.NON_IDEMPOTENT)
PLAIN = Settings(classes=(IDEMPOTENT, NON_IDEMPOTENT), max_attempts=4)
PROBING = replace(
    PLAIN,
    may_probe=True,
    report_mode=ReportMode.ON_PROBE,
    report_fields=("cpu_share", "running_and_waiting"),
    price_probe=0.002,
)


def make_driver(settings: Settings = PLAIN, servers: int = 10, seed: int = 1, **entry: float) -> Driver:
    """Return a driver whose balancer has a list of this many servers, all with the given entry fields."""
    driver = Driver(settings, seed)
    entries = tuple(ServerEntry(number, **entry) for number in range(servers))  # type: ignore[arg-type]
    driver.update_list(ListKind.CACHED, entries)
    return driver


def sends(actions: Iterable[Action]) -> list[int]:
    """Return the servers of the `Send` actions."""
    return [action.server for action in actions if isinstance(action, Send)]


def chi_square(counts: list[int]) -> float:
    """Return Pearson's chi-square statistic of counts that are expected to be equal."""
    mean = sum(counts) / len(counts)
    return sum((count - mean) ** 2 / mean for count in counts)
