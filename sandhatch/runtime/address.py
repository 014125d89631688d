"""Addresses as text and as what the sockets take. Numbers only: nothing here looks a name up."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address
from zlib import crc32

Address = tuple[str, int]


class ConfigError(ValueError):
    """A value is missing or makes no sense; the message is one line that names key and value."""


def read_address(text: str) -> Address:
    """`address:port`, as numbers: there is no DNS. ValueError says what would be right."""
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        raise ValueError("an IPv4 address and port is wanted, as 127.0.0.1:8080") from None
    if not port.isascii() or not port.isdigit() or len(port) > 5 or int(port) > 65535:
        raise ValueError("a port from 0 to 65535 is wanted after the colon")
    return host, int(port)


def parse_address(text: object, key: str) -> Address:
    """As `read_address`, of whatever stands at a key; ConfigError names the key and the value."""
    try:
        return read_address(text if isinstance(text, str) else "")
    except ValueError:
        raise ConfigError(f"{key}: {text!r} is not an IPv4 address and port") from None


def spell(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def label_of(address: str) -> int:
    """The number of a server, by its address as `host:port`, that all copies and planners agree on."""
    return crc32(address.encode())
