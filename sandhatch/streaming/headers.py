"""Type of header and trailer fields, independent of the protocol version.

Source: RFC 9110 section 5.
"""

from __future__ import annotations

# Pairs of field name and field value as received, in the order of receipt.
Headers = list[tuple[bytes, bytes]]
