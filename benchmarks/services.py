"""What benchmarks change in a service that runs in their own process.

It touches no decision. Source: the project's own.
"""

from __future__ import annotations

from sandhatch.service.service import Service


def silence_log(service: Service) -> None:
    """Drops the service's log lines, of which each commit writes several."""
    service.logger.line = lambda text: None  # type: ignore[method-assign]  # noqa: ARG005 - the method's name


def note_entry_times(service: Service, entered_ms: dict[int, float]) -> None:
    """Notes by number when each version comes into force; the service has no hook for that."""
    enter = service._enter  # noqa: SLF001 - see above

    def enter_and_note(version: object, first: bool = False) -> None:
        enter(version, first)  # type: ignore[arg-type]
        current = service.front.current
        assert current is not None
        entered_ms[current.number] = service.now_ms

    service._enter = enter_and_note  # type: ignore[method-assign]  # noqa: SLF001 - see above
