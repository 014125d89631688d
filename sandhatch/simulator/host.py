"""The simulator's adapter: a process that hosts many balancer instances and handles batches of their events.

Batches are read from standard input, and replies are written to standard output. Instances share the process
but no state. The batch's clock is the only source of time. Source: `WIRE-sandhatch.md`.
"""

from __future__ import annotations

import gc
import sys
import traceback
from collections.abc import Iterator
from dataclasses import dataclass
from struct import Struct
from typing import BinaryIO

from sandhatch.balancing.errors import SettingsError
from sandhatch.balancing.events import Event
from sandhatch.balancing.policy.balancer import Balancer
from sandhatch.simulator.action_encoder import encode_action, encode_crash, encode_reply
from sandhatch.simulator.errors import TruncatedFrameError, UnknownInstanceError, WireError
from sandhatch.simulator.event_decoder import BatchDecoder, InstanceKilled, InstanceStarted
from sandhatch.simulator.settings_decoder import decode_settings

_BATCH_HEADER = Struct(">dII")  # clock in ms, size in bytes including this header, number of records


@dataclass(slots=True, frozen=True)
class Batch:
    """A batch of events.

    Attributes:
        clock_ms: Time of all events in the batch.
        record_count: Number of records in the batch.
        frame: The encoded records.
    """

    clock_ms: float
    record_count: int
    frame: bytes


def read_batch(source: BinaryIO) -> Batch | None:
    """Read the next batch; return None at the end of the input.

    Raises:
        WireError: The input ends within a batch, or the header states a size that is too small.
    """
    header = source.read(_BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < _BATCH_HEADER.size:
        raise TruncatedFrameError("input ends inside a batch header")
    clock_ms, size, record_count = _BATCH_HEADER.unpack(header)
    if size < _BATCH_HEADER.size:
        raise TruncatedFrameError(f"batch size of {size} bytes is smaller than the batch header")
    frame = source.read(size - _BATCH_HEADER.size)
    if len(frame) < size - _BATCH_HEADER.size:
        raise TruncatedFrameError("input ends inside a batch")
    return Batch(clock_ms, record_count, frame)


class Host:
    """The balancer instances of one process."""

    def __init__(self) -> None:
        """Start without any instances."""
        self._decoder = BatchDecoder()
        self._instances: dict[int, Balancer] = {}

    def handle(self, batch: Batch) -> bytes:
        """Handle a batch and return the reply.

        Raises:
            WireError: The batch violates the wire protocol.
        """
        records: list[bytes] = []
        for instance, event in self._decoder.decode(batch.frame, batch.record_count):
            try:
                records.extend(self._handle_event(instance, event, batch.clock_ms))
            except WireError:
                raise
            except SettingsError as exception:
                records.append(encode_crash(instance, f"settings refused: {exception}"))
            except Exception as exception:
                traceback.print_exc(file=sys.stderr)
                records.append(encode_crash(instance, f"{type(exception).__name__}: {exception}"))
        return encode_reply(records)

    def _handle_event(
        self, instance: int, event: Event | InstanceStarted | InstanceKilled, clock_ms: float
    ) -> Iterator[bytes]:
        """Handle an event and yield the encoded actions."""
        if isinstance(event, InstanceStarted):
            self._instances[instance] = Balancer(decode_settings(event.settings_json), event.seed)
            return
        if isinstance(event, InstanceKilled):
            self._instances.pop(instance, None)
            return
        balancer = self._instances.get(instance)
        if balancer is None:
            raise UnknownInstanceError(instance)
        for action in balancer.handle(clock_ms, event):
            yield encode_action(instance, action)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Handle batches until the input ends; each batch is decoded completely before its reply is written.

    Raises:
        WireError: A batch violates the wire protocol.
    """
    host = Host()
    while (batch := read_batch(source)) is not None:
        sink.write(host.handle(batch))
        sink.flush()


def main() -> int:
    """Run until the end of input; a malformed frame ends the process with a one-line error and status 1."""
    # Instances are long-lived with few reference cycles, and pauses for garbage collection would count as
    # decision time.
    gc.disable()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as exception:
        print(f"sandhatch.simulator.host: {exception}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
