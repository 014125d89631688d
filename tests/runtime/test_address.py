"""Addresses as text: what is read, and what the error names."""

from __future__ import annotations

import pytest

from sandhatch.runtime.address import parse_address, read_address, spell
from sandhatch.runtime.errors import ConfigError


@pytest.mark.parametrize("text", ["127.0.0.1:0", "10.1.2.3:65535"])
def test_an_address_is_read_and_written_alike(text: str) -> None:
    assert spell(read_address(text)) == text


@pytest.mark.parametrize(
    "text",
    ["", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:-1", "127.0.0.1:65536", "::1:80", "1.2.3:4"],
)
def test_anything_else_is_an_error_that_names_key_and_value(text: str) -> None:
    with pytest.raises(ConfigError, match=r"^listen: ") as error:
        parse_address(text, "listen")
    assert repr(text) in str(error.value)


def test_a_value_that_is_not_text_is_an_error() -> None:
    with pytest.raises(ConfigError, match="listen: 7 "):
        parse_address(7, "listen")
