"""Resources that all pools and listeners of one process share: clock, logger, budgets, in-flight request ids.

Holds the resources and makes no decisions.
"""

from __future__ import annotations

import asyncio

from sandhatch.runtime.clock import Clock
from sandhatch.runtime.descriptor_budget import DescriptorBudget
from sandhatch.runtime.flow_statistics import FlowStatistics
from sandhatch.runtime.in_flight_ids import InFlightIds
from sandhatch.runtime.logger import Logger
from sandhatch.runtime.memory_budget import MemoryBudget


class SharedResources:
    """The shared resources of a process, passed to each of its pools and listeners.

    Attributes:
        loop: Event loop that runs the whole process.
        name: Name of the instance.
        client_count: Number of open client connections, over all listeners.
        max_clients: Maximum number of open client connections, over all listeners.
        clock: Clock and timers of the process.
        logger: Log of the process.
        memory_budget: Memory budget for buffered bodies, heads and responses.
        flow_statistics: Statistics of streamed bodies.
        in_flight_ids: Ids of requests that are in flight or may have run recently.
        descriptors: Descriptor budget for connections to servers.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        memory_mb: float,
        id_retention_ms: float,
        connection_descriptors: int,
    ) -> None:
        """Creates the resources of a process.

        Args:
            loop: Event loop that runs the whole process.
            name: Name of the instance, for the log.
            memory_mb: Memory limit of the process.
            id_retention_ms: How long the id of a finished request is retained.
            connection_descriptors: Descriptors for connections to clients and servers together.
        """
        self.loop = loop
        self.name = name
        self.client_count = 0
        self.clock = Clock(loop)
        self.logger = Logger(name)
        self.memory_budget = MemoryBudget(memory_mb)
        self.flow_statistics = FlowStatistics()
        self.in_flight_ids = InFlightIds(id_retention_ms, memory_mb)
        self.descriptors = DescriptorBudget()
        self._memory_mb = memory_mb
        self._program_mb = 0.0
        self.share_descriptors(connection_descriptors)

    def limit_memory(self, memory_mb: float) -> None:
        """Divide a new memory limit of the process between buffers and request ids."""
        self._memory_mb = memory_mb
        self.memory_budget.set_limit(memory_mb, self._program_mb)
        self.in_flight_ids.retained.set_memory_limit(memory_mb, self._program_mb)

    def account_for_program(self, program_mb: float) -> None:
        """Leave the memory that the program occupies without any request out of what requests may use.

        Called once the program is assembled; `program_mb` is 0 if it is unknown.
        """
        self._program_mb = program_mb
        self.limit_memory(self._memory_mb)
        if program_mb >= self._memory_mb:
            self.logger.write_line(
                f"limits.memory_mb: expected more than {program_mb:.0f} MiB, which the program occupies "
                f"without any request, got {self._memory_mb:g}"
            )

    def share_descriptors(self, connection_descriptors: int) -> None:
        """Divides the descriptors: half for connections to servers, a tenth less than half for clients'.

        If more descriptors are in use already, the limits apply to new connections only.
        """
        self.max_clients = connection_descriptors * 9 // 20
        self.descriptors.limit = connection_descriptors // 2
