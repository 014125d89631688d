"""What all pools and listeners of one process share: clock, logger, budgets, and in-flight request ids.

It decides nothing: it is where each of them finds the others' part.
"""

from __future__ import annotations

import asyncio

from sandhatch.runtime.clock import Clock
from sandhatch.runtime.descriptor_budget import Descriptors
from sandhatch.runtime.flow_statistics import FlowStatistics
from sandhatch.runtime.in_flight_ids import InFlightIds
from sandhatch.runtime.logger import Logger
from sandhatch.runtime.memory_budget import MemoryBudget


class SharedResources:
    """Passed to every pool and listener of a process.

    Attributes:
        loop: The event loop that runs everything.
        name: The instance's name.
        clients: Open connections of clients, over all listeners.
        client_budget: How many connections of clients may be open, over all listeners.
        clock: The process's time and timers.
        logger: The process's log.
        memory_budget: Memory for buffered bodies, heads and answers.
        flows: Counts of streamed bodies.
        in_flight_ids: Ids of requests.
        descriptors: Descriptors for connections to servers.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        memory_mb: float,
        id_retention_ms: float,
        connection_descriptors: int,
    ) -> None:
        """Make the resources of a process.

        Args:
            loop: The event loop that runs everything.
            name: The instance's name, for the log.
            memory_mb: Memory limit of the process.
            id_retention_ms: How long the id of a finished request is remembered.
            connection_descriptors: Descriptors for clients and servers together.
        """
        self.loop = loop
        self.name = name
        self.clients = 0
        self.clock = Clock(loop)
        self.logger = Logger(name)
        self.memory_budget = MemoryBudget(memory_mb)
        self.flows = FlowStatistics()
        self.in_flight_ids = InFlightIds(id_retention_ms)
        self.descriptors = Descriptors()
        self.share_descriptors(connection_descriptors)

    def share_descriptors(self, connection_descriptors: int) -> None:
        """Divide the descriptors between clients and servers; a tenth less than half goes to clients.

        If more are in use than that, the limits count from the next connection on.
        """
        self.client_budget = connection_descriptors * 9 // 20
        self.descriptors.most = connection_descriptors // 2
