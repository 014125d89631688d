"""Addresses as text and as sockets take them.

Numeric only: nothing here resolves a name or opens a socket. Source: the `address:port` of the settings, the
own configuration and the platform's protocol.
"""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address
from zlib import crc32

from sandhatch.runtime.errors import ConfigError

Address = tuple[str, int]  # IPv4 address and port, as the socket module takes it

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def read_address(text: str) -> Address:
    """Parse `address:port`.

    Raises:
        ValueError: It is not that; the message says what is expected.
    """
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        raise ValueError("expected an IPv4 address and port, such as 127.0.0.1:8080") from None
    if not port.isascii() or not port.isdigit() or len(port) > MAX_PORT_DIGITS or int(port) > MAX_PORT:
        raise ValueError(f"expected a port from 0 to {MAX_PORT} after the colon")
    return host, int(port)


def parse_address(text: object, key: str) -> Address:
    """As `read_address`, of the value at a configuration key.

    Raises:
        ConfigError: It is not an address; the message names the key and the value.
    """
    try:
        return read_address(text if isinstance(text, str) else "")
    except ValueError:
        raise ConfigError(f"{key}: {text!r} is not an IPv4 address and port") from None


def format_address(address: Address) -> str:
    """The address as `host:port`."""
    return f"{address[0]}:{address[1]}"


def server_label(address: str) -> int:
    """A number of the server at `host:port` on which all instances and planners agree."""
    return crc32(address.encode())
