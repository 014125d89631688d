"""The descriptor budget; the memory budget's tests are in `tests/streaming`."""

from __future__ import annotations

from sandhatch.runtime.descriptor_budget import DescriptorBudget


class ScriptedHolder:
    """The connections of a pool, whose idle connections can be closed."""

    def __init__(self, connection_count: int, idle: int) -> None:
        self.connection_count = connection_count
        self.idle = idle

    def close_longest_idle(self) -> bool:
        if not self.idle:
            return False
        self.idle -= 1
        self.connection_count -= 1
        return True


def budget(limit: int, *connection_holders: ScriptedHolder) -> DescriptorBudget:
    descriptors = DescriptorBudget()
    descriptors.limit = limit
    for holder in connection_holders:
        descriptors.holders[holder] = None
    return descriptors


def test_no_connection_is_closed_while_a_descriptor_is_free() -> None:
    holder = ScriptedHolder(connection_count=2, idle=2)
    assert budget(3, holder).ensure_one_free()
    assert holder.idle == 2


def test_one_idle_connection_of_any_pool_is_closed_if_no_descriptor_is_free() -> None:
    busy = ScriptedHolder(connection_count=2, idle=0)
    idle = ScriptedHolder(connection_count=2, idle=2)
    descriptors = budget(4, busy, idle)
    assert descriptors.ensure_one_free()
    assert (busy.connection_count, idle.connection_count, descriptors.used) == (2, 1, 3)


def test_no_descriptor_is_granted_if_all_connections_are_busy() -> None:
    assert not budget(2, ScriptedHolder(connection_count=2, idle=0)).ensure_one_free()
