"""The listeners of a service across versions: bound before a version is activated, opened when it is.

A listener of two versions is the same one if it has the same address. One that the active version no longer
has stops accepting and ends once its connections have.
"""

from __future__ import annotations

from sandhatch.config.version import Version
from sandhatch.downstream.listener import Listener
from sandhatch.runtime.address import parse_address
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.service.errors import StageError
from sandhatch.service.request_handler import RequestHandler

REOPEN_MS = 50.0


def listener_key(name: str, address: str) -> str:
    """What identifies a listener across versions: its address; with port 0, which is any, its name too."""
    return f"{address} {name}" if address.endswith(":0") else address


class ListenerSet:
    """Listeners that are active, staged for a version to come, or closing.

    Attributes:
        active: Listeners of the active version, by `listener_key`.
        stopping: Whether the process ends: addresses that are taken are not tried again.
    """

    def __init__(self, shared: SharedResources, request_handler: RequestHandler) -> None:
        """Start without listeners; the handler gets the requests of all of them."""
        self._shared = shared
        self._request_handler = request_handler
        self.active: dict[str, Listener] = {}
        self.stopping = False
        self._staged: dict[int, dict[str, Listener]] = {}  # by version number
        self._closing: list[Listener] = []

    @property
    def active_and_closing(self) -> list[Listener]:
        """Active and closing listeners."""
        return [*self.active.values(), *self._closing]

    def stage(self, version: Version) -> None:
        """Bind the addresses of a version that no active listener has.

        Raises:
            StageError: One can't be bound; none stays bound then.
        """
        staged: dict[str, Listener] = {}
        for name, spec in version.checked.model.listeners.items():
            key = listener_key(name, spec.address)
            if key in self.active:
                continue
            listener = self._build(spec.address, name)
            try:
                listener.bind()
            except OSError as problem:
                for other in staged.values():
                    other.close()
                raise StageError(f"listeners.{name}.address: {spec.address}: {problem.strerror}") from None
            staged[key] = listener
        self._staged[version.number] = staged

    def _build(self, address: str, name: str) -> Listener:
        return Listener(parse_address(address, "address"), self._shared, self._request_handler, name)

    def unstage(self, version: Version) -> None:
        """Close what was bound for a version that won't be activated."""
        for listener in self._staged.pop(version.number, {}).values():
            listener.close()

    def activate(self, version: Version) -> None:
        """Open the version's listeners and stop accepting on the others."""
        staged = self._staged.pop(version.number, {})
        wanted = {
            listener_key(name, spec.address): name for name, spec in version.checked.model.listeners.items()
        }
        for key in [key for key in self.active if key not in wanted]:
            self._retire(key)
        for key, name in wanted.items():
            spec = version.checked.model.listeners[name]
            existing = self.active.get(key)
            if existing is not None:
                existing.name = name
                existing.half_close = spec.half_close
                continue
            listener = staged.get(key) or self._build(spec.address, name)
            listener.half_close = spec.half_close
            self.active[key] = listener
            self._open(listener, key)

    def _retire(self, key: str) -> None:
        listener = self.active.pop(key)
        listener.closing = True
        listener.stop_accepting()
        listener.end_idle()
        self._closing.append(listener)

    def _open(self, listener: Listener, key: str) -> None:
        """Listen.

        After a rollback the address is bound anew; if another process has it by now, this is tried again
        until it succeeds or the active version has no such listener.
        """
        if self.active.get(key) is not listener or self.stopping:
            return
        try:
            listener.start()
        except OSError as problem:
            self._shared.logger.line(f"listener {listener.name}: {problem.strerror}; retrying")
            self._shared.clock.after(REOPEN_MS, lambda: self._open(listener, key))

    def end_idle(self) -> None:
        """Close idle connections of closing listeners, and forget those without connections."""
        self._closing = [listener for listener in self._closing if listener.connections]
        for listener in self._closing:
            listener.end_idle()

    def close(self) -> None:
        """Close all listeners and their connections."""
        for listener in self.active_and_closing:
            listener.close()
        for staged in self._staged.values():
            for listener in staged.values():
                listener.close()
