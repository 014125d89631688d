"""Parser of the request headers that the balancer uses: class, id, remaining time, tenant and the like.

The message is not modified. Source: PROTOCOL-sandhatch.md.
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

MAX_TRACE_ID_BYTES = 128
MAX_DEADLINE_DIGITS = 15
MAX_SIZE_HINT_DIGITS = 11
METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"))
ALLOW: Headers = [(b"Allow", b", ".join(sorted(METHODS)))]  # header of a 405 response


@dataclass(slots=True, frozen=True)
class ParsedRequest:
    """Parsed content of a request's headers.

    Attributes:
        event: Event for the balancer; its request number is not set yet.
        trace_id: Id of the request.
    """

    event: RequestArrived
    trace_id: bytes


def reject_duplicate_id(in_flight_ids: InFlightIds, trace_id: bytes, now_ms: float) -> None:
    """Reject a request with the id of another request that is in flight or may have run recently.

    Two requests with the same id could not be told apart; rejecting the second protects the first. While
    there is no memory for a further id, any request is rejected, since a duplicate of it could run.

    Args:
        in_flight_ids: Ids of the requests of the process.
        trace_id: Id of the request.
        now_ms: Present time in Unix milliseconds.

    Raises:
        FramingError: The id is in use (409), or no further id can be retained (503).
    """
    if trace_id in in_flight_ids:
        raise FramingError(409, "a request with this id is open, or was until lately")
    if in_flight_ids.retained.is_full(now_ms):
        raise FramingError(503, "too many recent requests to detect a duplicate")


class RequestHeaderParser:
    """Parses request headers by the names of classes and tenants in one version of the settings."""

    def __init__(self, settings: Settings, default_class: str | None = None) -> None:
        """Index the names in the settings.

        Args:
            settings: Settings that name the classes and the tenants.
            default_class: Class of requests that name no class; without a default they are rejected.
        """
        self._default_class = default_class.encode() if default_class else b""
        self._settings = settings
        self._class_indices = {spec.name.encode(): index for index, spec in enumerate(settings.classes)}
        self._tenants = {spec.name.encode(): index for index, spec in enumerate(settings.tenants)}

    def parse(self, message: Message) -> ParsedRequest:
        """Parse one request's headers.

        Raises:
            FramingError: A header is missing, malformed or repeated.
        """
        trace_id = message.value(b"x-trace-id")
        if not trace_id or len(trace_id) > MAX_TRACE_ID_BYTES:
            # Servers and operators who search the logs tell requests apart by the id.
            raise FramingError(400, "a request without its id")
        class_name = message.value(b"x-qos")
        class_index = self._class_indices.get(class_name or self._default_class)
        if class_index is None:
            raise FramingError(400, f"unknown class {class_name!r:.60}")
        request_class = self._settings.classes[class_index]
        time_left_ms = self._time_left_ms(message, request_class.deadline_ms)
        if request_class.effect is Effect.IDEMPOTENT_WITH_KEY and not message.value(b"idempotency-key"):
            # Without the idempotency key, servers could not detect and drop a retry.
            raise FramingError(400, "a keyed request without its key")
        size_hint = message.value(b"x-size-hint")
        object_key = message.value(b"x-object")
        event = RequestArrived(
            request=0,
            class_index=class_index,
            time_left_ms=time_left_ms,
            # A tenant that the settings don't name has no quota.
            tenant=self._tenants.get(message.value(b"x-customer") or b"", len(self._tenants)),
            key=zlib.crc32(object_key) + 1 if object_key else 0,
            expected_ms=self._expected_ms(size_hint),
            client_retry=message.value(b"x-second-try") == b"1",
        )
        return ParsedRequest(event, trace_id)

    @staticmethod
    def _time_left_ms(message: Message, deadline_ms: float) -> float:
        """Return the remaining time that the client states, at most the deadline of its class."""
        stated = message.value(b"x-expires-in-ms")
        if stated is None:
            return deadline_ms
        if not stated.isdigit() or len(stated) > MAX_DEADLINE_DIGITS:
            raise FramingError(400, f"unreadable deadline {stated!r:.60}")
        return min(deadline_ms, float(stated))

    @staticmethod
    def _expected_ms(size_hint: bytes | None) -> float | None:
        """Convert a size hint, the expected work in microseconds; a malformed hint counts as absent."""
        if not size_hint or not size_hint.isdigit() or len(size_hint) > MAX_SIZE_HINT_DIGITS:
            return None
        return int(size_hint) / 1000.0
