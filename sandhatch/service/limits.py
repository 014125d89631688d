"""Limits of the process, from `limits` and `classes` of a version's configuration.

A limit below the present use applies from the next connection or body on; no running request is aborted for
it.
"""

from __future__ import annotations

import asyncio

from sandhatch.config.check import CheckedConfiguration
from sandhatch.runtime.in_flight_ids import retention_ms
from sandhatch.runtime.process import raise_descriptor_limit
from sandhatch.runtime.shared_resources import SharedResources

RESERVED_DESCRIPTORS = 64  # descriptors for listeners, control socket, discovery and files
MIN_CONNECTION_DESCRIPTORS = 16


def connection_descriptors(checked: CheckedConfiguration) -> int:
    """Return the descriptors for client and server connections together, within the system's limit."""
    return max(
        MIN_CONNECTION_DESCRIPTORS,
        raise_descriptor_limit(checked.model.limits.sockets) - RESERVED_DESCRIPTORS,
    )


def id_retention_ms(checked: CheckedConfiguration) -> float:
    """Return how long the id of a finished request is retained."""
    return retention_ms(max(item.deadline_ms for item in checked.model.classes.values()))


def build_shared_resources(loop: asyncio.AbstractEventLoop, checked: CheckedConfiguration) -> SharedResources:
    """Build the resources of a process that starts with this configuration."""
    return SharedResources(
        loop,
        checked.model.name,
        checked.model.limits.memory_mb,
        id_retention_ms(checked),
        connection_descriptors(checked),
    )


def apply_limits(shared: SharedResources, checked: CheckedConfiguration) -> None:
    """Set the limits of a version that becomes active, but never shorten the retention of request ids."""
    shared.share_descriptors(connection_descriptors(checked))
    shared.limit_memory(checked.model.limits.memory_mb)
    retained_ids = shared.in_flight_ids.retained
    retained_ids.retention_ms = max(retained_ids.retention_ms, id_retention_ms(checked))
