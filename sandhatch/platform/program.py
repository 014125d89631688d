"""Assembly of the platform's program: one listener, one pool, configured by the platform.

Nothing is started here: `sandhatch.__main__` starts the program.
"""

from __future__ import annotations

import asyncio
import os
from functools import partial

from sandhatch.config.platform import PlatformConfig
from sandhatch.discovery.client import Discovery, DiscoveryPlan
from sandhatch.dispatch.dispatcher import Dispatcher
from sandhatch.dispatch.plan import PoolPlan
from sandhatch.dispatch.protocols import BalancerProtocol
from sandhatch.downstream.listener import Listener
from sandhatch.platform.graceful_shutdown import ShutdownDeadline, drain
from sandhatch.platform.request_handler import PlatformRequestHandler
from sandhatch.runtime.in_flight_ids import retention_ms
from sandhatch.runtime.logger import report_loop_errors
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.telemetry.event_recorder import Recorder, requested_record_scope

# Descriptors that no connection to a client or server may use: those for the listener, discovery and files.
OWN_DESCRIPTORS = 24
MIN_CONNECTION_DESCRIPTORS = 8


def _discovery_plan(config: PlatformConfig) -> DiscoveryPlan:
    """Return the address of discovery and the data that is available before the first call."""
    return DiscoveryPlan(config.discovery, config.zones, config.machine_types, config.known_endpoints)


class PlatformProgram:
    """The assembled components of the platform's program.

    Attributes:
        shared: Clock, logger, budgets and in-flight request ids.
        dispatcher: Dispatcher of the only pool.
        discovery: Discovery client that provides the pool's endpoint list.
        listener: Listener that clients connect to.
    """

    def __init__(
        self,
        config: PlatformConfig,
        loop: asyncio.AbstractEventLoop,
        decisions: BalancerProtocol | None = None,
    ) -> None:
        """Assembles the program.

        Args:
            config: Configuration given by the platform.
            loop: Event loop that runs the whole program.
            decisions: Replacement for the balancer, for tests.
        """
        settings = config.settings
        self._longest_deadline_ms = max(item.deadline_ms for item in settings.classes)
        # Connections to clients and to servers share the descriptors that the process does not need itself.
        connection_descriptors = max(MIN_CONNECTION_DESCRIPTORS, config.sockets - OWN_DESCRIPTORS)
        self.shared = SharedResources(
            loop,
            config.name,
            config.memory_mb,
            retention_ms(self._longest_deadline_ms),
            connection_descriptors,
        )
        report_loop_errors(loop, self.shared.logger)
        pool_plan = PoolPlan(
            settings, config.seed, connection_descriptors // 2, config.drain_grace_ms, config.report_names
        )
        make_source = partial(Discovery, _discovery_plan(config))
        self.dispatcher = Dispatcher(pool_plan, self.shared, make_source, decisions)
        source = self.dispatcher.source
        assert isinstance(source, Discovery)
        self.discovery = source
        self._record_events(config)
        self._shutdown_deadline = ShutdownDeadline(self.shared.clock)
        request_handler = PlatformRequestHandler(
            settings, self.dispatcher, self.shared, self._shutdown_deadline
        )
        self.listener = Listener(config.listen, self.shared, request_handler)

    def _record_events(self, config: PlatformConfig) -> None:
        scope = requested_record_scope(os.environ, self.shared.logger.write_line)
        if scope is None:
            return
        clock = self.shared.clock
        self.dispatcher.observe(Recorder(config.name, config.settings.tier, clock.now_ms, scope=scope))

    async def drain(self) -> None:
        """Shuts down gracefully: accepts connections for a while, completes pending requests, then closes."""
        self._shutdown_deadline.begin(self._longest_deadline_ms)
        await drain(
            self.shared.clock,
            [self.listener],
            lambda: self.dispatcher.pending_requests,
            self._longest_deadline_ms,
        )
        self.dispatcher.source.stop()
        self.dispatcher.connection_pool.close()
