"""The simulator's adapter: hosts many balancer instances, and serves batches of their events.

Batches arrive on standard input and replies go to standard output. Instances share nothing but the process.
The batch's clock is the only time there is. Source: `WIRE-sandhatch.md`.
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
from sandhatch.simulator.event_decoder import Decoder, InstanceKilled, InstanceStarted
from sandhatch.simulator.settings_decoder import decode_settings

_BATCH_HEADER = Struct(">dII")  # the clock, the bytes in the frame with this header, the number of records


@dataclass(slots=True, frozen=True)
class Batch:
    """A batch of events.

    Attributes:
        clock_ms: The time at which all of it happens.
        record_count: The number of its records.
        frame: The records.
    """

    clock_ms: float
    record_count: int
    frame: bytes


def read_batch(source: BinaryIO) -> Batch | None:
    """Read the next batch; None at the end of the input.

    Raises:
        WireError: The input ends within a batch, or states a length that can't be.
    """
    header = source.read(_BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < _BATCH_HEADER.size:
        raise TruncatedFrameError("input ends inside a batch header")
    clock_ms, size, record_count = _BATCH_HEADER.unpack(header)
    if size < _BATCH_HEADER.size:
        raise TruncatedFrameError(f"a batch of {size} bytes is shorter than its header")
    frame = source.read(size - _BATCH_HEADER.size)
    if len(frame) < size - _BATCH_HEADER.size:
        raise TruncatedFrameError("input ends inside a batch")
    return Batch(clock_ms, record_count, frame)


class Host:
    """The balancer instances of one process."""

    def __init__(self) -> None:
        """Start without an instance."""
        self._decoder = Decoder()
        self._instances: dict[int, Balancer] = {}

    def handle(self, batch: Batch) -> bytes:
        """Handle a batch and return the reply.

        Raises:
            WireError: The batch doesn't follow the wire page.
        """
        replies: list[bytes] = []
        for instance, event in self._decoder.batch(batch.frame, batch.record_count):
            try:
                replies.extend(self._handle_event(instance, event, batch.clock_ms))
            except WireError:
                raise
            except SettingsError as problem:
                replies.append(encode_crash(instance, f"settings refused: {problem}"))
            except Exception as problem:
                traceback.print_exc(file=sys.stderr)
                replies.append(encode_crash(instance, f"{type(problem).__name__}: {problem}"))
        return encode_reply(replies)

    def _handle_event(
        self, instance: int, event: Event | InstanceStarted | InstanceKilled, clock_ms: float
    ) -> Iterator[bytes]:
        """Handle an event and yield the records that answer it."""
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
    """Answer batches until the input ends; a batch is decoded completely before anything is written.

    Raises:
        WireError: A batch doesn't follow the wire page.
    """
    host = Host()
    while (batch := read_batch(source)) is not None:
        sink.write(host.handle(batch))
        sink.flush()


def main() -> int:
    """Run until the end of input; a malformed frame ends the process with a plain message and status 1."""
    # Instances live long and hold few cycles; pauses for collection would count as time spent on decisions.
    gc.disable()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as problem:
        print(f"sandhatch.simulator.host: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
