"""Limits of the process, from a version's configuration. Source: `limits` and `classes` of the model.

A limit that is lower than what is in use counts from the next connection or body on; nothing that runs is
aborted for it.
"""

from __future__ import annotations

import asyncio

from sandhatch.config.check import CheckedConfiguration
from sandhatch.runtime.in_flight_ids import retention_ms
from sandhatch.runtime.process import raise_descriptor_limit
from sandhatch.runtime.shared_resources import SharedResources

OWN_DESCRIPTORS = 64  # the process's own: listeners, control, discovery, files
MIN_CONNECTION_DESCRIPTORS = 16


def connection_descriptors(checked: CheckedConfiguration) -> int:
    """The descriptors for clients and servers together, within what the system lets this process have."""
    return max(
        MIN_CONNECTION_DESCRIPTORS, raise_descriptor_limit(checked.model.limits.sockets) - OWN_DESCRIPTORS
    )


def id_retention_ms(checked: CheckedConfiguration) -> float:
    """How long the id of a finished request is remembered."""
    return retention_ms(max(item.deadline_ms for item in checked.model.classes.values()))


def build_shared_resources(loop: asyncio.AbstractEventLoop, checked: CheckedConfiguration) -> SharedResources:
    """The resources of a process that starts with this configuration."""
    return SharedResources(
        loop,
        checked.model.name,
        checked.model.limits.memory_mb,
        id_retention_ms(checked),
        connection_descriptors(checked),
    )


def apply_limits(shared: SharedResources, checked: CheckedConfiguration) -> None:
    """Set the limits of a version that becomes active. Ids are remembered no shorter than before."""
    shared.share_descriptors(connection_descriptors(checked))
    shared.memory_budget.set_limit(checked.model.limits.memory_mb)
    in_flight_ids = shared.in_flight_ids
    in_flight_ids.retention_ms = max(in_flight_ids.retention_ms, id_retention_ms(checked))
