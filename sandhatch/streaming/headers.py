"""Header fields as every protocol hands them on: of a message's head, and of a body's trailers."""

from __future__ import annotations

# Names as they came and values, in their order.
Headers = list[tuple[bytes, bytes]]
