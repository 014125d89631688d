"""Header fields as each protocol hands them on: of a message's head, and of a body's trailers.

A type only. Source: RFC 9110 section 5.
"""

from __future__ import annotations

# Names and values as they were received, in their order.
Headers = list[tuple[bytes, bytes]]
