"""The project's own configuration: what its keys are, their units, defaults and bounds.

Every model refuses keys that it does not know. What one key says of another (a route of its pool) is checked
in `check`. The page for operators is docs/operators/configuration.md.
"""

from __future__ import annotations

from typing import Annotated, Literal, Self

import re2
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, StringConstraints, model_validator

from sandhatch.runtime.address import read_address
from sandhatch.streaming.progress import ProgressLimits
from sandhatch.streaming.terms import BodyTerms, StreamTerms

MAX_POOLS = 1_000
MAX_ROUTES = 100_000
MAX_SERVERS = 10_000
MAX_BODY_BYTES = 64 * 1024

NAME = r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}"
Name = Annotated[str, StringConstraints(pattern=rf"^{NAME}$")]
Milliseconds = Annotated[float, Field(gt=0, le=3_600_000)]
HeaderName = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,128}$")]


def _address(text: str) -> str:
    read_address(text)
    return text


def _pattern(text: str) -> str:
    # RE2's dialect: its matching takes linear time, so no pattern can hold the one core.
    options = re2.Options()
    options.log_errors = False
    options.max_mem = 1 << 20
    try:
        re2.compile(text, options)
    except re2.error as problem:
        reason = problem.args[0] if problem.args else ""
        reason = reason.decode("utf-8", "replace") if isinstance(reason, bytes) else str(reason)
        raise ValueError(f"not a regular expression of RE2: {reason}") from None
    return text


def _path(text: str) -> str:
    if not text.startswith("/"):
        raise ValueError("a path starts with /")
    if "?" in text or "#" in text:
        raise ValueError("a path is matched without its query; it holds no ? or #")
    return text


AddressText = Annotated[str, AfterValidator(_address)]
Pattern = Annotated[str, StringConstraints(max_length=1024), AfterValidator(_pattern)]
KeyText = Annotated[str, StringConstraints(pattern=r"^[0-9a-fA-F]{64}$")]  # 32 bytes
PathText = Annotated[str, StringConstraints(max_length=4096), AfterValidator(_path)]


class Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True, hide_input_in_errors=True)


class Listener(Model):
    address: AddressText
    # A caller that has sent its end after a whole request still gets its answer; else it counts as gone.
    half_close: bool = False


class Direction(Model):
    """Bodies of requests, or of answers. Up to `hold_bytes` a body is held whole, a longer one is passed on
    as it arrives from there on. `replay_bytes` of what was sent are kept for another attempt.
    """

    most_bytes: Annotated[int, Field(ge=0, le=2**50)] = 2**30
    hold_bytes: Annotated[int, Field(ge=1024, le=2**20)] = 64 * 1024
    replay_bytes: Annotated[int, Field(ge=0, le=2**24)] = 64 * 1024
    ceiling_bytes: Annotated[int, Field(ge=160 * 1024, le=2**26)] = 256 * 1024
    writer_stall_ms: Milliseconds = 10_000.0
    writer_floor_bytes_per_s: Annotated[float, Field(ge=0, le=1e9)] = 512.0
    reader_stall_ms: Milliseconds = 10_000.0
    reader_floor_bytes_per_s: Annotated[float, Field(ge=0, le=1e9)] = 512.0
    window_ms: Milliseconds = 10_000.0

    @model_validator(mode="after")
    def _fits(self) -> Self:
        # Kept and unsent bytes count twice while another attempt is given them, and a read comes on top.
        least = 2 * max(self.hold_bytes, self.replay_bytes) + 32 * 1024
        if self.ceiling_bytes < least:
            raise ValueError(
                f"ceiling_bytes {self.ceiling_bytes} is below twice what is held or kept and 32 KiB: {least}"
            )
        return self

    def terms(self) -> BodyTerms:
        return BodyTerms(
            self.most_bytes,
            self.hold_bytes,
            self.replay_bytes,
            self.ceiling_bytes,
            ProgressLimits(self.writer_stall_ms, self.writer_floor_bytes_per_s, self.window_ms),
            ProgressLimits(self.reader_stall_ms, self.reader_floor_bytes_per_s, self.window_ms),
        )


class Bodies(Model):
    """How a class's long bodies pass; see docs/operators/bodies.md."""

    request: Direction = Direction()
    answer: Direction = Direction()
    total_ms: Milliseconds = 3_600_000.0
    room_wait_ms: Milliseconds = 2_000.0
    answer_hold_ms: Annotated[float, Field(ge=0, le=60_000)] = 100.0

    def terms(self) -> StreamTerms:
        return StreamTerms(
            self.request.terms(),
            self.answer.terms(),
            self.total_ms,
            self.room_wait_ms,
            self.answer_hold_ms,
        )


class Class(Model):
    """A class of requests: what a repeat would do, and what an answer in time is worth."""

    effect: Literal["safe", "keyed", "unsafe"]
    aim_ms: Milliseconds
    deadline_ms: Milliseconds
    worth: Annotated[float, Field(ge=0, le=1e6)] = 1.0
    memory_ms: Annotated[float, Field(ge=0, le=3_600_000)] = 0.0
    bodies: Bodies = Bodies()

    @model_validator(mode="after")
    def _aims_before_deadline(self) -> Self:
        if self.aim_ms > self.deadline_ms:
            raise ValueError(f"aim_ms {self.aim_ms:g} is past deadline_ms {self.deadline_ms:g}")
        if self.bodies.total_ms < self.deadline_ms:
            raise ValueError(
                f"bodies.total_ms {self.bodies.total_ms:g} is below deadline_ms {self.deadline_ms:g}: a long"
                " body may take longer than a short one, not less"
            )
        return self


class Tenant(Model):
    quota_per_s: Annotated[float, Field(ge=0, le=1e9)]
    fraction: Annotated[float, Field(ge=0, le=1)] = 0.0


class Server(Model):
    address: AddressText
    state: Literal["ready", "draining"] = "ready"
    weight: Annotated[float, Field(ge=0, le=1e6)] = 1.0


class DiscoverySource(Model):
    """The platform's discovery. `ask`: lists come only when asked for."""

    discovery: AddressText
    ask: bool = False


class Pool(Model):
    """Servers that do the same work, and how they are called. Either `servers` or `source`."""

    servers: Annotated[dict[Name, Server], Field(max_length=MAX_SERVERS)] | None = None
    source: DiscoverySource | None = None
    max_attempts: Annotated[int, Field(ge=1, le=16)] = 2
    may_cancel: bool = True
    second_copies: bool = False
    max_connections: Annotated[int, Field(ge=1, le=100_000)] = 256
    connect_timeout_ms: Milliseconds = 250.0
    idle_ms: Milliseconds = 30_000.0
    # From the word that a server drains or is gone to the last send that may still go there.
    drain_grace_ms: Annotated[float, Field(ge=0, le=2_000)] = 2_000.0
    # A server that a change brings in starts at cold_share of its capacity and is warm after cold_ms.
    cold_share: Annotated[float, Field(gt=0, le=1)] = 0.1
    cold_ms: Annotated[float, Field(ge=0, le=3_600_000)] = 30_000.0
    new_servers: Literal["cold", "warm"] = "cold"
    copies: Annotated[int, Field(ge=1, le=10_000)] = 1  # balancers that send to these servers
    # What a cold server may be sent by all copies together: calls a second once it is warm, and calls at
    # once beyond that (0: one a copy). 0 for the first: each copy goes by its own traffic.
    ramp_per_s: Annotated[float, Field(ge=0, le=1e6)] = 0.0
    ramp_burst: Annotated[float, Field(ge=0, le=1e6)] = 0.0
    planned: bool = True  # reported to planners, where there are any
    # Its place in the chain of calls. Only the first, 0, refuses before work is spent on a request above it.
    tier: Annotated[int, Field(ge=0, le=15)] = 0
    # Whether a change that brings this pool is refused while none of its servers can be connected to.
    require_reachable: bool = True

    @model_validator(mode="after")
    def _one_origin(self) -> Self:
        if (self.servers is None) == (self.source is None):
            raise ValueError("either servers or source is wanted, and not both")
        if 0.0 < self.ramp_burst < 1.0:
            raise ValueError(f"ramp_burst {self.ramp_burst:g} lets no call through; 1 is the least")
        return self


class PathMatch(Model):
    exact: PathText | None = None
    prefix: PathText | None = None  # whole segments: /a matches /a and /a/b, not /ab
    regex: Pattern | None = None  # of the whole path

    @model_validator(mode="after")
    def _one_way(self) -> Self:
        if sum(way is not None for way in (self.exact, self.prefix, self.regex)) != 1:
            raise ValueError("exactly one of exact, prefix and regex is wanted")
        return self


class HeaderMatch(Model):
    name: HeaderName
    exact: str | None = None
    prefix: str | None = None
    regex: Pattern | None = None
    present: bool | None = None

    @model_validator(mode="after")
    def _one_way(self) -> Self:
        if sum(way is not None for way in (self.exact, self.prefix, self.regex, self.present)) != 1:
            raise ValueError("exactly one of exact, prefix, regex and present is wanted")
        return self


class Match(Model):
    """All that is stated must hold; of a list, one."""

    listeners: Annotated[list[Name], Field(min_length=1)] | None = None
    # Without port, in any case; *.example.org stands for any name below it.
    hosts: (
        Annotated[list[Annotated[str, StringConstraints(min_length=1, max_length=255)]], Field(min_length=1)]
        | None
    ) = None
    path: PathMatch | None = None
    methods: Annotated[list[Literal["GET", "POST", "PUT", "PATCH", "DELETE"]], Field(min_length=1)] | None = (
        None
    )
    headers: Annotated[list[HeaderMatch], Field(max_length=16)] = []
    classes: Annotated[list[Name], Field(min_length=1)] | None = None


class Part(Model):
    pool: Name
    weight: Annotated[int, Field(ge=0, le=1_000_000)]


class Weighted(Model):
    """A split over pools. `by` names the header whose value keeps a caller with one pool; without it each
    request is drawn.
    """

    pools: Annotated[list[Part], Field(min_length=1, max_length=64)]
    by: HeaderName | None = None

    @model_validator(mode="after")
    def _some_weight(self) -> Self:
        if not sum(part.weight for part in self.pools):
            raise ValueError("pools: at least one weight above 0 is wanted")
        return self


class FixedAnswer(Model):
    status: Annotated[int, Field(ge=200, le=599)]
    body: Annotated[str, StringConstraints(max_length=MAX_BODY_BYTES)] = ""
    content_type: Annotated[str, StringConstraints(pattern=r"^[\x21-\x7e]+(; ?[\x21-\x7e]+)*$")] = (
        "text/plain"
    )


class Target(Model):
    pool: Name | None = None
    weighted: Weighted | None = None
    answer: FixedAnswer | None = None

    @model_validator(mode="after")
    def _one_way(self) -> Self:
        if sum(way is not None for way in (self.pool, self.weighted, self.answer)) != 1:
            raise ValueError("exactly one of pool, weighted and answer is wanted")
        return self


class Route(Model):
    name: Name
    match: Match = Match()
    to: Target


class Limits(Model):
    """Of the process. `sockets`: descriptors for callers and servers together."""

    memory_mb: Annotated[float, Field(ge=16, le=1e6)] = 64.0
    sockets: Annotated[int, Field(ge=64, le=1_000_000)] = 1024
    # After SIGTERM, for what was taken to end; the classes' longest deadline where that is longer.
    drain_ms: Annotated[float, Field(ge=0, le=3_600_000)] = 30_000.0


class Watch(Model):
    """What is looked at after a commit, to take it back by itself. Counted in blocks of `block_ms`."""

    window_ms: Annotated[float, Field(ge=1_000, le=3_600_000)] = 30_000.0
    before_ms: Annotated[float, Field(ge=1_000, le=3_600_000)] = 60_000.0
    block_ms: Annotated[float, Field(ge=50, le=60_000)] = 500.0
    # The odds, over the whole window, of taking back a change that made nothing worse.
    significance: Annotated[float, Field(gt=0, le=0.2)] = 0.001
    least_fall: Annotated[float, Field(gt=0, le=1)] = 0.05  # of the worth asked for
    enabled: bool = True


class PlannerPeer(Model):
    """A planner, and its public key where keys are Ed25519."""

    address: AddressText
    public_key: KeyText | None = None


class Planning(Model):
    """This process as one of several forwarders: which of them it is, and which planners it speaks to, in the
    order in which its parts are lent to them. docs/operators/planning.md
    """

    name: Name | None = None  # at the planners; `forwarder-PLACE` if none is given
    place: Annotated[int, Field(ge=0, le=9_999)] = 0  # from 0 on; no two forwarders may have the same
    planners: Annotated[dict[Name, PlannerPeer], Field(max_length=16)] = {}
    shared_key_file: str | None = None
    private_key_file: str | None = None
    report_ms: Annotated[float, Field(ge=50, le=10_000)] = 250.0
    bytes_per_s: Annotated[float, Field(ge=4_096, le=1e8)] = 65_536.0  # to each planner, at most
    most_lease_ms: Annotated[float, Field(ge=100, le=600_000)] = 10_000.0
    hold_ms: Annotated[float, Field(ge=0, le=600_000)] = 5_000.0
    shun_ms: Annotated[float, Field(ge=100, le=600_000)] = 10_000.0

    @model_validator(mode="after")
    def _keys(self) -> Self:
        if not self.planners:
            return self
        if (self.shared_key_file is None) == (self.private_key_file is None):
            raise ValueError("either shared_key_file or private_key_file is wanted, and not both")
        for name, peer in self.planners.items():
            if (peer.public_key is None) == (self.private_key_file is not None):
                verb = "is wanted with" if peer.public_key is None else "has no use without"
                raise ValueError(f"planners.{name}.public_key {verb} private_key_file")
        return self

    @property
    def forwarder(self) -> str:
        return self.name or f"forwarder-{self.place}"


class Configuration(Model):
    """One whole configuration. `format` is that of the file."""

    format: Literal[1]
    name: Name = "sandhatch"
    seed: Annotated[int, Field(ge=0, lt=2**63)] = 0
    limits: Limits = Limits()
    watch: Watch = Watch()
    planning: Planning | None = None
    listeners: Annotated[dict[Name, Listener], Field(min_length=1, max_length=64)]
    classes: Annotated[dict[Name, Class], Field(min_length=1, max_length=250)]
    default_class: Name | None = None  # of a request that names none
    tenants: Annotated[dict[Name, Tenant], Field(max_length=1_000)] = {}
    pools: Annotated[dict[Name, Pool], Field(max_length=MAX_POOLS)]
    routes: Annotated[list[Route], Field(max_length=MAX_ROUTES)] = []
    default: Target = Target(answer=FixedAnswer(status=404))
