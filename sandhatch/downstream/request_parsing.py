"""Reads a request's headers by the names in the settings: class, id, time left, tenant.

It decides nothing, and leaves the message as it is. Source: PROTOCOL-sandhatch.md.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from sandhatch.balancing.events import RequestArrived
from sandhatch.balancing.settings import Effect, Settings
from sandhatch.http1.errors import FramingError
from sandhatch.http1.message import Message
from sandhatch.runtime.in_flight_ids import InFlightIds
from sandhatch.streaming.headers import Headers

MAX_TRACE_BYTES = 128  # of a request's id
MAX_DEADLINE_DIGITS = 15
MAX_SIZE_HINT_DIGITS = 11
METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"))
ALLOW: Headers = [(b"Allow", b", ".join(sorted(METHODS)))]  # belongs to a 405


@dataclass(slots=True, frozen=True)
class ParsedRequest:
    """What a request's headers say.

    Attributes:
        event: For the decisions; its request number is not set yet.
        trace_id: The request's id.
    """

    event: RequestArrived
    trace_id: bytes


def reject_known(in_flight_ids: InFlightIds, trace: bytes) -> None:
    """Rejects a second request under the id of one that is in flight, or was until lately.

    Protects the first: the two could not be told apart.

    Raises:
        FramingError: The id is known.
    """
    if trace in in_flight_ids:
        raise FramingError(409, "a request with this id is open, or was until lately")


class Requests:
    """Reads requests by the names in one version of the settings."""

    def __init__(self, settings: Settings, default_class: str | None = None) -> None:
        """Index the settings' names.

        Args:
            settings: Name the classes and the tenants.
            default_class: Class of requests that name none; without it these are rejected.
        """
        self._default_class = default_class.encode() if default_class else b""
        self._settings = settings
        self._class_indices = {spec.name.encode(): index for index, spec in enumerate(settings.classes)}
        self._tenants = {spec.name.encode(): index for index, spec in enumerate(settings.tenants)}

    def read(self, message: Message) -> ParsedRequest:
        """Reads one request's headers.

        Raises:
            FramingError: A header is missing, malformed or comes more than once.
        """
        trace_id = message.value(b"x-trace-id")
        if not trace_id or len(trace_id) > MAX_TRACE_BYTES:
            # Servers tell requests apart by it, and so does whoever looks for one in the logs.
            raise FramingError(400, "a request without its id")
        class_name = message.value(b"x-qos")
        class_index = self._class_indices.get(class_name or self._default_class)
        if class_index is None:
            raise FramingError(400, f"unknown class {class_name!r:.60}")
        request_class = self._settings.classes[class_index]
        time_left_ms = self._time_left_ms(message, request_class.deadline_ms)
        if request_class.effect is Effect.IDEMPOTENT_WITH_KEY and not message.value(b"idempotency-key"):
            # Without it servers could not drop a retry.
            raise FramingError(400, "a keyed request without its key")
        size_hint = message.value(b"x-size-hint")
        object_key = message.value(b"x-object")
        event = RequestArrived(
            request=0,
            class_index=class_index,
            time_left_ms=time_left_ms,
            # A tenant that the settings don't name has no quota to exceed.
            tenant=self._tenants.get(message.value(b"x-customer") or b"", len(self._tenants)),
            key=zlib.crc32(object_key) + 1 if object_key else 0,
            expected_ms=self._expected_ms(size_hint),
            client_retry=message.value(b"x-second-try") == b"1",
        )
        return ParsedRequest(event, trace_id)

    @staticmethod
    def _time_left_ms(message: Message, deadline_ms: float) -> float:
        """The time that the client states, bounded by its class's deadline."""
        stated = message.value(b"x-expires-in-ms")
        if stated is None:
            return deadline_ms
        if not stated.isdigit() or len(stated) > MAX_DEADLINE_DIGITS:
            raise FramingError(400, f"unreadable deadline {stated!r:.60}")
        return min(deadline_ms, float(stated))

    @staticmethod
    def _expected_ms(size_hint: bytes | None) -> float | None:
        """The hint is the expected work in microseconds; one that is malformed counts as absent."""
        if not size_hint or not size_hint.isdigit() or len(size_hint) > MAX_SIZE_HINT_DIGITS:
            return None
        return int(size_hint) / 1000.0
