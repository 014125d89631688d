"""Parsing and formatting of addresses, and the errors for invalid ones."""

from __future__ import annotations

import pytest

from sandhatch.runtime.address import format_address, parse_address, parse_address_setting
from sandhatch.runtime.errors import ConfigError


@pytest.mark.parametrize("text", ["127.0.0.1:0", "10.1.2.3:65535"])
def test_parsed_address_is_formatted_as_the_same_text(text: str) -> None:
    assert format_address(parse_address(text)) == text


@pytest.mark.parametrize(
    "text",
    ["", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:-1", "127.0.0.1:65536", "::1:80", "1.2.3:4"],
)
def test_invalid_address_raises_an_error_naming_key_and_value(text: str) -> None:
    with pytest.raises(ConfigError, match=r"^listen: ") as error:
        parse_address_setting(text, "listen")
    assert repr(text) in str(error.value)


def test_value_that_is_not_a_string_raises_an_error() -> None:
    with pytest.raises(ConfigError, match="listen: 7 "):
        parse_address_setting(7, "listen")
