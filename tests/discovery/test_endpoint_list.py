"""Discovery's answers: what counts as an endpoint list, and how its servers are numbered."""

from __future__ import annotations

from typing import Any

import pytest

from sandhatch.balancing.events import ListKind
from sandhatch.discovery.endpoint_list import parse_listing
from sandhatch.discovery.errors import DiscoveryError, MalformedListError
from sandhatch.discovery.names import EndpointNumbering
from testkit.platform import entry


def test_server_keeps_its_number_for_good() -> None:
    """Guards the balancer's memory of a server: removed and back, it is the same one."""
    names = EndpointNumbering(("north",), ("box",))
    assert [names.server(name) for name in ("a", "b", "a", "c", "b")] == [1, 2, 1, 3, 2]


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
def test_malformed_entry_fails_the_complete_answer(change: dict[str, Any]) -> None:
    """Guards the list against answers that are valid in part."""
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
def test_malformed_answer_is_named_by_key_and_value(change: dict[str, Any], message: str) -> None:
    with pytest.raises(MalformedListError) as caught:
        parse_listing({"generation": 1, "reset": True, "instances": []} | change, EndpointNumbering((), ()))
    assert str(caught.value) == message
    assert caught.value.key == next(iter(change))


def test_malformed_answer_uses_up_no_number() -> None:
    names = EndpointNumbering((), ())
    data = {"generation": 1, "reset": False, "instances": [entry("a", 80), entry("b", 81, weight=-1)]}
    with pytest.raises(MalformedListError):
        parse_listing(data, names)
    assert names.known() == []


def test_removed_server_needs_no_address() -> None:
    removed = {"instanceId": "a", "lifecycle": "left"}
    listing = parse_listing(
        {"generation": 1, "reset": False, "instances": [removed]}, EndpointNumbering((), ())
    )
    assert (listing.kind, len(listing.entries)) == (ListKind.DELTA, 1)
