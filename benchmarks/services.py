"""What benchmarks change in a service that runs in their own process.

It touches no decision. Source: the project's own.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from sandhatch.config.version import Version
from sandhatch.service.service import Service


def silence_log(service: Service) -> None:
    """Drops the service's log lines, of which each commit writes several."""
    service.logger.line = lambda text: None  # type: ignore[method-assign]  # noqa: ARG005 - the method's name


def note_activation_times(service: Service, activated_ms: dict[int, float]) -> None:
    """Notes by number when each version becomes the active one; the service has no hook for that."""
    noted = partial(_activate_and_note, service.changes.activate, service, activated_ms)
    service.changes.activate = noted  # type: ignore[method-assign]


def _activate_and_note(
    activate: Callable[[Version, bool], None],
    service: Service,
    activated_ms: dict[int, float],
    version: Version,
    first: bool = False,
) -> None:
    activate(version, first)
    activated_ms[version.number] = service.now_ms
