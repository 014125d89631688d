"""The listeners of a service across versions: bound at staging, accepting from activation on.

Versions share a listener that has the same address. A listener that the active version no longer has stops
accepting and is removed once its connections are closed.
"""

from __future__ import annotations

from sandhatch.config.version import Version
from sandhatch.downstream.listener import Listener
from sandhatch.runtime.address import parse_address_setting
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.service.errors import StageError
from sandhatch.service.request_handler import RequestHandler

REOPEN_DELAY_MS = 50.0


def listener_key(name: str, address: str) -> str:
    """Return a listener's identity across versions: its address, and with port 0 (any port) also its name."""
    return f"{address} {name}" if address.endswith(":0") else address


class ListenerSet:
    """Listeners that are active, staged for a later version, or closing.

    Attributes:
        active: Listeners of the active version, by `listener_key`.
        stopping: Whether the process is shutting down; binding is then not retried.
    """

    def __init__(self, shared: SharedResources, request_handler: RequestHandler) -> None:
        """Start without listeners; `request_handler` receives the requests of all listeners."""
        self._shared = shared
        self._request_handler = request_handler
        self.active: dict[str, Listener] = {}
        self.stopping = False
        self._staged: dict[int, dict[str, Listener]] = {}  # key: version number
        self._closing: list[Listener] = []

    @property
    def active_and_closing(self) -> list[Listener]:
        """Listeners that may have open connections."""
        return [*self.active.values(), *self._closing]

    def stage(self, version: Version) -> None:
        """Bind those addresses of a version that no active listener has.

        Raises:
            StageError: An address can't be bound; the version's other new addresses have been released again.
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
        return Listener(parse_address_setting(address, "address"), self._shared, self._request_handler, name)

    def unstage(self, version: Version) -> None:
        """Close the listeners that were bound for a version that won't be activated."""
        for listener in self._staged.pop(version.number, {}).values():
            listener.close()

    def activate(self, version: Version) -> None:
        """Start accepting on the version's listeners and stop accepting on all other listeners."""
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
        listener.close_idle()
        self._closing.append(listener)

    def _open(self, listener: Listener, key: str) -> None:
        """Start accepting on the listener.

        After a rollback the address is bound anew. If another process has bound it meanwhile, binding is
        retried until binding succeeds or the active version no longer has the listener.
        """
        if self.active.get(key) is not listener or self.stopping:
            return
        try:
            listener.start()
        except OSError as problem:
            self._shared.logger.write_line(
                f"listener {listener.name}: can't listen: {problem.strerror}; retrying"
            )
            self._shared.clock.call_after(REOPEN_DELAY_MS, lambda: self._open(listener, key))

    def close_idle_connections(self) -> None:
        """Close idle connections of closing listeners, and remove listeners without connections."""
        self._closing = [listener for listener in self._closing if listener.connection_count]
        for listener in self._closing:
            listener.close_idle()

    def close(self) -> None:
        """Close all listeners and their connections."""
        for listener in self.active_and_closing:
            listener.close()
        for staged in self._staged.values():
            for listener in staged.values():
                listener.close()
