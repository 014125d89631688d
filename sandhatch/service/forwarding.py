"""This process as a forwarder among others: the link to its planners, as the version in force has it.

Nothing of `sandhatch.planning` is loaded where no planner is configured.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sandhatch.config.check import pool_settings
from sandhatch.config.model import Configuration, Planning
from sandhatch.runtime.address import parse_address
from sandhatch.runtime.shared import SharedResources
from sandhatch.service.pools import RunningPool, StageError

if TYPE_CHECKING:
    from sandhatch.planning.keys import Identity
    from sandhatch.planning.link import ForwarderLink


class Forwarding:
    """The link, if there is one."""

    def __init__(self, shared: SharedResources, seed: int) -> None:
        self._shared = shared
        self._seed = seed
        self._spec: Planning | None = None
        self._bound_ms: float | None = None  # until when an earlier link's parts may be others'
        self.link: ForwarderLink | None = None

    def check(self, model: Configuration) -> None:
        """That its keys can be had; StageError."""
        if model.planning is not None and model.planning.planners:
            self._identity(model.planning)

    @staticmethod
    def _identity(spec: Planning) -> Identity:
        try:
            from sandhatch.planning.errors import BadKeyError
            from sandhatch.planning.keys import identity
        except ImportError as problem:
            raise StageError(f"planning.planners: {problem}; install the extra `planning`") from None
        peers = {name: peer.public_key for name, peer in spec.planners.items() if peer.public_key is not None}
        try:
            return identity(spec.shared_key_file, spec.private_key_file, peers)
        except BadKeyError as problem:
            raise StageError(f"planning: {problem}") from None

    def enter(self, model: Configuration, pools: dict[str, RunningPool]) -> None:
        """The version is in force: its planners, its pools."""
        spec = model.planning if model.planning is not None and model.planning.planners else None
        if spec != self._spec:
            self._change(spec)
        if self.link is None:
            return
        planned = {name: pool for name, pool in pools.items() if pool.spec.planned}
        for name in self.link.pools:
            if name not in planned:
                self.link.detach(name)
        for name, pool in planned.items():
            self.link.attach(name, pool.dispatcher, pool_settings(model, pool.spec))

    def _change(self, spec: Planning | None) -> None:
        now = self._shared.clock.now_ms()
        if self.link is not None:
            self._bound_ms = self.link.machine.bound_ms
            self.link.stop()
            self.link = None
        self._spec = spec
        if spec is None:
            return
        from sandhatch.planning.link import ForwarderLink
        from sandhatch.planning.terms import ForwarderTerms

        terms = ForwarderTerms(
            report_ms=spec.report_ms,
            bytes_per_s=spec.bytes_per_s,
            most_lease_ms=spec.most_lease_ms,
            hold_ms=spec.hold_ms,
            shun_ms=spec.shun_ms,
        )
        # An earlier life of this process may have lent its parts; an earlier link of this life surely knows.
        quiet = None if self._bound_ms is None else max(0.0, self._bound_ms - now)
        addresses = {name: parse_address(peer.address, "address") for name, peer in spec.planners.items()}
        try:
            identity = self._identity(spec)
        except StageError as problem:  # its files were there a moment ago
            self._shared.logger.line(f"no planner is spoken to: {problem}")
            self._spec = None
            return
        self.link = ForwarderLink(
            spec.forwarder,
            addresses,
            identity,
            self._shared.clock,
            self._shared.logger.line,
            terms,
            self._seed,
            quiet,
        )
        self.link.start()

    def close(self) -> None:
        if self.link is not None:
            self.link.stop()

    def status(self) -> dict[str, Any] | None:
        return self.link.status() if self.link is not None else None
