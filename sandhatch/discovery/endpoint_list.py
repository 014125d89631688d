"""Parser of endpoint lists in discovery's format; a list is validated completely before any part is used.

Does no input or output. Source: PROTOCOL-sandhatch.md, "Discovery"; its keys and words occur only here and in
the tests' fake of discovery.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from sandhatch.balancing.events import ListKind, ServerEntry, ServerState
from sandhatch.discovery.errors import DiscoveryError, MalformedListError
from sandhatch.discovery.numbering import EndpointNumbering
from sandhatch.runtime.address import Address, format_address, parse_address_setting, server_label
from sandhatch.runtime.errors import ConfigError

# Values of the protocol's key `lifecycle`.
STATES_BY_LIFECYCLE = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}
NUMBER_LIMIT = 1e15  # exclusive upper bound of numbers in a response; larger numbers are not plausible
NO_ADDRESS: Address = ("0.0.0.0", 0)  # placeholder for a removed server that is listed without an address


@dataclass(slots=True, frozen=True)
class Listing:
    """Publication of a source: an endpoint list, changes to one, or the failure of a call.

    Attributes:
        kind: Type of the publication.
        version: Version of the list that is valid from now on.
        entries: All entries of a complete list, or the entries that have changed.
        addresses: Addresses of the entries, in the same order.
        call: Number of the watch call that has ended, 0 if the publication ends no watch call.
        failure_reason: Reason for which the call failed.
    """

    kind: ListKind
    version: int
    entries: tuple[ServerEntry, ...]
    addresses: tuple[Address, ...]
    call: int = 0
    failure_reason: str = ""


@dataclass(slots=True, frozen=True)
class _InstanceRow:
    """One validated element of `instances` in discovery's response."""

    instance_id: str
    address: Address
    state: ServerState
    zone: str
    machine_type: str
    cell: int
    weight: float
    started_ms: float


def parse_listing(data: Any, numbering: EndpointNumbering) -> Listing:
    """Turn discovery's response into a listing.

    Args:
        data: Decoded JSON of the response.
        numbering: Assigns the servers' numbers; unchanged if the response is malformed.

    Returns:
        The complete list, or the changes.

    Raises:
        DiscoveryError: Some part of the response is malformed; the message names the part.
    """
    if not isinstance(data, dict):
        raise DiscoveryError("the response is not an object")
    version = _read_integer(data, "generation")
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
        entries=tuple(_make_entry(row, numbering) for row in rows),
        addresses=tuple(row.address for row in rows),
    )


def _parse_row(row: Any) -> _InstanceRow:
    if not isinstance(row, dict):
        raise MalformedListError("instances", row, "is not an object")
    lifecycle = _read_string(row, "lifecycle")
    state = STATES_BY_LIFECYCLE.get(lifecycle)
    if state is None:
        raise MalformedListError("lifecycle", lifecycle, f"is not one of {', '.join(STATES_BY_LIFECYCLE)}")
    return _InstanceRow(
        address=_parse_address(row, state),
        state=state,
        zone=_read_string(row, "zone", default=""),
        machine_type=_read_string(row, "machineType", default=""),
        cell=int(_read_number(row, "cell", default=0)),
        weight=_read_number(row, "weight", default=1.0),
        started_ms=_read_number(row, "startedAtMs", default=0),
        instance_id=_read_string(row, "instanceId"),
    )


def _make_entry(row: _InstanceRow, numbering: EndpointNumbering) -> ServerEntry:
    return ServerEntry(
        server=numbering.server_number(row.instance_id),
        state=row.state,
        label=server_label(format_address(row.address)),
        started_ms=row.started_ms,
        weight=row.weight,
        zone=numbering.zone_number(row.zone),
        cell=row.cell,
        kind=numbering.machine_type_number(row.machine_type),
    )


def _parse_address(row: dict[str, Any], state: ServerState) -> Address:
    """Parse a server's address, which may be absent for a removed server."""
    try:
        return parse_address_setting(row.get("hostPort"), "hostPort")
    except ConfigError as problem:
        if state is not ServerState.GONE:
            raise DiscoveryError(str(problem)) from None
        return NO_ADDRESS


def _read_integer(row: dict[str, Any], key: str) -> int:
    value = row.get(key)
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedListError(key, value, "is not an integer")
    return value


def _read_string(row: dict[str, Any], key: str, default: str | None = None) -> str:
    value = row.get(key, default)
    if not isinstance(value, str):
        raise MalformedListError(key, value, "is not a string")
    return value


def _read_number(row: dict[str, Any], key: str, default: float) -> float:
    value = row.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedListError(key, value, "is not a number")
    if not 0 <= value < NUMBER_LIMIT:
        raise MalformedListError(key, value, f"is not from 0 to {NUMBER_LIMIT:g}")
    return float(value)
