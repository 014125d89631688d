"""The process's role as a forwarder in the planning protocol: the link to the active version's planners.

`sandhatch.planning` is imported only if a planner is configured.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sandhatch.config.model import Configuration
from sandhatch.config.planning_model import Planning
from sandhatch.config.pool_settings import pool_settings
from sandhatch.runtime.address import parse_address_setting
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.service.errors import StageError
from sandhatch.service.running_pool import RunningPool

if TYPE_CHECKING:
    from sandhatch.planning.keys import Identity
    from sandhatch.planning.link import ForwarderLink
    from sandhatch.planning.terms import ForwarderTerms


class Forwarding:
    """The link to the planners, if any are configured; replaced when their configuration changes."""

    def __init__(self, shared: SharedResources, seed: int) -> None:
        """Start without a link to planners; `seed` seeds the link's random draws."""
        self._shared = shared
        self._seed = seed
        self._spec: Planning | None = None
        # End of the last lease granted over an earlier link of this process, in Unix milliseconds; until then
        # other forwarders may use the shares that this process leased. None if there was no earlier link.
        self._earlier_leases_until_ms: float | None = None
        self.link: ForwarderLink | None = None

    def check(self, model: Configuration) -> None:
        """Check that the key files of a version that is being staged can be read.

        Raises:
            StageError: A key file can't be read, or the extra `planning` is not installed; the message names
                the configuration key and the cause.
        """
        if model.planning is not None and model.planning.planners:
            self._read_identity(model.planning)

    @staticmethod
    def _read_identity(spec: Planning) -> Identity:
        try:
            from sandhatch.planning.errors import BadKeyError
            from sandhatch.planning.keys import load_identity
        except ImportError as problem:
            raise StageError(f"planning.planners: {problem}; install the extra `planning`") from None
        peers = {name: peer.public_key for name, peer in spec.planners.items() if peer.public_key is not None}
        try:
            return load_identity(spec.shared_key_file, spec.private_key_file, peers)
        except BadKeyError as problem:
            raise StageError(f"planning: {problem}") from None

    def activate(self, model: Configuration, pools: dict[str, RunningPool]) -> None:
        """Connect to the planners of a version that has become active, and attach its planned pools."""
        spec = model.planning if model.planning is not None and model.planning.planners else None
        if spec != self._spec:
            self._replace_link(spec)
        if self.link is None:
            return
        planned = {name: pool for name, pool in pools.items() if pool.spec.planned}
        for name in self.link.pools:
            if name not in planned:
                self.link.detach(name)
        for name, pool in planned.items():
            self.link.attach(name, pool.dispatcher, pool_settings(model, pool.spec))

    def _replace_link(self, spec: Planning | None) -> None:
        now_ms = self._shared.clock.now_ms()
        if self.link is not None:
            self._earlier_leases_until_ms = self.link.forwarder.leased_until_ms
            self.link.stop()
            self.link = None
        self._spec = spec
        if spec is None:
            return
        try:
            identity = self._read_identity(spec)
        except StageError as problem:  # a key file that was readable at staging has changed since
            self._shared.logger.write_line(f"planning disabled, no planner will be connected: {problem}")
            self._spec = None
            return
        self.link = self._build_link(spec, identity, now_ms)
        self.link.start()

    def _build_link(self, spec: Planning, identity: Identity, now_ms: float) -> ForwarderLink:
        from sandhatch.planning.link import ForwarderLink

        # `previous_lease_ms` is None without an earlier link of this process: whether an earlier process has
        # leased its shares can't be known. The end of an earlier link's leases, in contrast, is known.
        previous_lease_ms = None
        if self._earlier_leases_until_ms is not None:
            previous_lease_ms = max(0.0, self._earlier_leases_until_ms - now_ms)
        addresses = {
            name: parse_address_setting(peer.address, "address") for name, peer in spec.planners.items()
        }
        return ForwarderLink(
            spec.forwarder,
            addresses,
            identity,
            self._shared.clock,
            self._shared.logger.write_line,
            _build_link_terms(spec),
            self._seed,
            previous_lease_ms,
        )

    def close(self) -> None:
        """Disconnect from the planners."""
        if self.link is not None:
            self.link.stop()

    def status(self) -> dict[str, Any] | None:
        """Return the status of the link to the planners; None if there is no link."""
        return self.link.status() if self.link is not None else None


def _build_link_terms(spec: Planning) -> ForwarderTerms:
    from sandhatch.planning.terms import ForwarderTerms

    return ForwarderTerms(
        report_ms=spec.report_ms,
        bytes_per_s=spec.bytes_per_s,
        max_lease_ms=spec.most_lease_ms,
        hold_ms=spec.hold_ms,
        min_backoff_ms=spec.shun_ms,
    )
