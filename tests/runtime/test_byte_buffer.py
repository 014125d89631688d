"""A byte buffer returns what was appended, in memory that does not depend on the number of pieces."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sandhatch.runtime.byte_buffer import ByteBuffer

BYTES = 64 * 1024


@given(st.lists(st.binary(max_size=40)))
def test_returns_all_pieces_in_order_and_is_empty_once_taken(pieces: list[bytes]) -> None:
    buffer = ByteBuffer()
    for piece in pieces:
        buffer.append(memoryview(piece))
    assert len(buffer) == sum(map(len, pieces))
    assert buffer.get() == buffer.take() == b"".join(pieces)
    assert len(buffer) == buffer.memory_bytes == 0


def test_memory_does_not_depend_on_the_size_of_the_pieces() -> None:
    buffer = ByteBuffer()
    for _ in range(BYTES):
        buffer.append(b"x")
    assert BYTES < buffer.memory_bytes < 1.25 * BYTES
