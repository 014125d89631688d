"""Type of header and trailer fields, independent of the protocol version.

Source: RFC 9110 section 5.
"""

from __future__ import annotations

# Pairs of name and value as received, in order.
Headers = list[tuple[bytes, bytes]]
