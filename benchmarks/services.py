"""Changes that benchmarks make to a service in their own process; they affect no balancing decision."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from sandhatch.config.version import Version
from sandhatch.service.service import Service


def silence_log(service: Service) -> None:
    """Discards the service's log lines; each commit would write several."""
    service.logger.write_line = lambda text: None  # type: ignore[method-assign]  # noqa: ARG005 - signature of the method


def record_activation_times(service: Service, activated_ms: dict[int, float]) -> None:
    """Records when each configuration version becomes active, by number, by wrapping a method."""
    recording_activate = partial(_activate_and_record, service.changes.activate, service, activated_ms)
    service.changes.activate = recording_activate  # type: ignore[method-assign]


def _activate_and_record(
    activate: Callable[[Version, bool], None],
    service: Service,
    activated_ms: dict[int, float],
    version: Version,
    first: bool = False,
) -> None:
    activate(version, first)
    activated_ms[version.number] = service.now_ms
