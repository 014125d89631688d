"""Endpoint lists: what discovery answers, checked as a whole before any of it counts.

Does no input or output. Source: PROTOCOL-sandhatch.md, "Discovery"; its keys and words stand only here and in
the fake of the tests.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from sandhatch.balancing.events import ListKind, ServerEntry, ServerState
from sandhatch.discovery.errors import DiscoveryError, MalformedListError
from sandhatch.discovery.names import EndpointNumbering
from sandhatch.runtime.address import Address, format_address, parse_address, server_label
from sandhatch.runtime.errors import ConfigError

# The words of the protocol's `lifecycle`.
STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}
NUMBER_LIMIT = 1e15  # numbers from here on are not plausible
NO_ADDRESS: Address = ("0.0.0.0", 0)  # of a server that has been removed and is listed without one


@dataclass(slots=True, frozen=True)
class Listing:
    """What a source publishes: an endpoint list, changes to it, or the failure of a call.

    Attributes:
        kind: what it carries.
        version: the version of the list that is valid from here on.
        entries: the entries, complete or changed ones.
        addresses: where the entries listen, in the same order.
        call: the number of the watch call that it ends, 0 for none.
        why: why that call failed.
    """

    kind: ListKind
    version: int
    entries: tuple[ServerEntry, ...]
    addresses: tuple[Address, ...]
    call: int = 0
    why: str = ""


@dataclass(slots=True, frozen=True)
class _Row:
    """One checked row of discovery's answer."""

    instance_id: str
    address: Address
    state: ServerState
    zone: str
    machine_type: str
    cell: int
    weight: float
    started_ms: float


def parse_listing(data: Any, names: EndpointNumbering) -> Listing:
    """Turn discovery's answer into a listing.

    Args:
        data: the decoded JSON of the answer.
        names: gives the servers' numbers; untouched if the answer is malformed.

    Returns:
        The complete list, or the changes.

    Raises:
        DiscoveryError: any part of the answer is malformed; the message names it.
    """
    if not isinstance(data, dict):
        raise DiscoveryError("the answer is not an object")
    version = _integer(data, "generation")
    if version < 0:
        raise MalformedListError("generation", version, "is less than 0")
    is_complete = data.get("reset")
    if not isinstance(is_complete, bool):
        raise MalformedListError("reset", is_complete, "is neither true nor false")
    instances = data.get("instances")
    if not isinstance(instances, list):
        raise MalformedListError("instances", instances, "is not a list")
    rows = [_parse_row(instance) for instance in instances]
    return Listing(
        kind=ListKind.FULL if is_complete else ListKind.DELTA,
        version=version,
        entries=tuple(_entry_of(row, names) for row in rows),
        addresses=tuple(row.address for row in rows),
    )


def _parse_row(row: Any) -> _Row:
    if not isinstance(row, dict):
        raise MalformedListError("instances", row, "is not an object")
    lifecycle = _string(row, "lifecycle")
    state = STATES.get(lifecycle)
    if state is None:
        raise MalformedListError("lifecycle", lifecycle, f"is not one of {', '.join(STATES)}")
    return _Row(
        address=_address(row, state),
        state=state,
        zone=_string(row, "zone", default=""),
        machine_type=_string(row, "machineType", default=""),
        cell=int(_number(row, "cell", default=0)),
        weight=_number(row, "weight", default=1.0),
        started_ms=_number(row, "startedAtMs", default=0),
        instance_id=_string(row, "instanceId"),
    )


def _entry_of(row: _Row, names: EndpointNumbering) -> ServerEntry:
    return ServerEntry(
        server=names.server(row.instance_id),
        state=row.state,
        label=server_label(format_address(row.address)),
        started_ms=row.started_ms,
        weight=row.weight,
        zone=names.zone(row.zone),
        cell=row.cell,
        kind=names.kind(row.machine_type),
    )


def _address(row: dict[str, Any], state: ServerState) -> Address:
    """Read where a server listens; one that has been removed needs no address."""
    try:
        return parse_address(row.get("hostPort"), "hostPort")
    except ConfigError as problem:
        if state is not ServerState.GONE:
            raise DiscoveryError(str(problem)) from None
        return NO_ADDRESS


def _integer(row: dict[str, Any], key: str) -> int:
    value = row.get(key)
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedListError(key, value, "is not an integer")
    return value


def _string(row: dict[str, Any], key: str, default: str | None = None) -> str:
    value = row.get(key, default)
    if not isinstance(value, str):
        raise MalformedListError(key, value, "is not a string")
    return value


def _number(row: dict[str, Any], key: str, default: float) -> float:
    value = row.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedListError(key, value, "is not a number")
    if not 0 <= value < NUMBER_LIMIT:
        raise MalformedListError(key, value, f"is not from 0 to {NUMBER_LIMIT:g}")
    return float(value)
