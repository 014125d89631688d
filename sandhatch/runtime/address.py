"""Conversion of addresses between text and the form that sockets take.

Numeric addresses only: nothing here resolves a name or opens a socket. Source: the `address:port` format of
the settings, of sandhatch's own configuration and of the platform's protocol.
"""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address
from zlib import crc32

from sandhatch.runtime.errors import ConfigError

Address = tuple[str, int]  # IPv4 address and port, as the socket module takes it

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def parse_address(text: str) -> Address:
    """Parses `address:port`.

    Raises:
        ValueError: The text has another form; the message says what is expected.
    """
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        raise ValueError("expected an IPv4 address and port, such as 127.0.0.1:8080") from None
    if not port.isascii() or not port.isdigit() or len(port) > MAX_PORT_DIGITS or int(port) > MAX_PORT:
        raise ValueError(f"expected a port from 0 to {MAX_PORT} after the colon")
    return host, int(port)


def parse_address_setting(text: object, key: str) -> Address:
    """Parses the value of a configuration key, as `parse_address` does.

    Raises:
        ConfigError: The value is not an address; the message names the key and the value.
    """
    try:
        return parse_address(text if isinstance(text, str) else "")
    except ValueError:
        raise ConfigError(f"{key}: {text!r} is not an IPv4 address and port") from None


def format_address(address: Address) -> str:
    """Formats the address as `host:port`."""
    return f"{address[0]}:{address[1]}"


def server_label(address: str) -> int:
    """Returns a number for the server at `host:port` that is the same in all instances and planners."""
    return crc32(address.encode())
