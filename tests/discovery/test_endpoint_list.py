"""Tests of the endpoint list parser: validation of discovery's responses, and numbering of servers."""

from __future__ import annotations

from typing import Any

import pytest

from sandhatch.balancing.events import ListKind
from sandhatch.discovery.endpoint_list import parse_listing
from sandhatch.discovery.errors import DiscoveryError, MalformedListError
from sandhatch.discovery.numbering import EndpointNumbering
from testkit.platform import entry


def test_server_id_keeps_its_number() -> None:
    """The balancer recognizes a server by its number, even if the server was removed and is listed again."""
    numbering = EndpointNumbering(("north",), ("box",))
    assert [numbering.server_number(instance_id) for instance_id in ("a", "b", "a", "c", "b")] == [
        1,
        2,
        1,
        3,
        2,
    ]


@pytest.mark.parametrize(
    "change",
    [
        {"hostPort": "nowhere"},
        {"hostPort": "127.0.0.1:99999"},
        {"lifecycle": "resting"},
        {"startedAtMs": "soon"},
        {"startedAtMs": -1},
        {"startedAtMs": True},
        {"weight": None},
        {"instanceId": 5},
        {"zone": 3},
    ],
)
def test_malformed_entry_rejects_the_complete_response(change: dict[str, Any]) -> None:
    """A response that is only partly valid must not be applied."""
    data = {"generation": 1, "reset": True, "instances": [entry("a", 80), entry("b", 81) | change]}
    with pytest.raises(DiscoveryError, match=next(iter(change))):
        parse_listing(data, EndpointNumbering(("north",), ("box",)))


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"generation": -1}, "generation: -1 is less than 0"),
        ({"generation": True}, "generation: True is not an integer"),
        ({"reset": None}, "reset: None is neither true nor false"),
        ({"instances": {}}, "instances: {} is not a list"),
        ({"instances": [7]}, "instances: 7 is not an object"),
    ],
)
def test_error_for_a_malformed_response_names_key_and_value(change: dict[str, Any], message: str) -> None:
    with pytest.raises(MalformedListError) as caught:
        parse_listing({"generation": 1, "reset": True, "instances": []} | change, EndpointNumbering((), ()))
    assert str(caught.value) == message
    assert caught.value.key == next(iter(change))


def test_malformed_response_uses_up_no_server_number() -> None:
    numbering = EndpointNumbering((), ())
    data = {"generation": 1, "reset": False, "instances": [entry("a", 80), entry("b", 81, weight=-1)]}
    with pytest.raises(MalformedListError):
        parse_listing(data, numbering)
    assert numbering.numbered_ids() == []


def test_removed_server_needs_no_address() -> None:
    removed = {"instanceId": "a", "lifecycle": "left"}
    listing = parse_listing(
        {"generation": 1, "reset": False, "instances": [removed]}, EndpointNumbering((), ())
    )
    assert (listing.kind, len(listing.entries)) == (ListKind.DELTA, 1)
