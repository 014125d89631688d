"""Decoder of an instance's settings: the JSON text of `hello` to `Settings`.

This is the one place that maps the wire page's keys (`WIRE-sandhatch.md`, "What does an instance know at
start?") to settings. It checks types and bounds; keys that are not mapped are ignored.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

from sandhatch.balancing.errors import SettingsError
from sandhatch.balancing.settings import (
    DeduplicationScope,
    Effect,
    ReportMode,
    RequestClass,
    Settings,
    Tenant,
)
from sandhatch.simulator.json_reader import ObjectReader

# ---------------------------------------------------------------- the wire page's words

_EFFECTS = {
    "read_like": Effect.IDEMPOTENT,
    "idempotency_key": Effect.IDEMPOTENT_WITH_KEY,
    "non_idempotent": Effect.NON_IDEMPOTENT,
}
_SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}
_REPORT_MODES = {"inline": ReportMode.INLINE, "on_probe": ReportMode.ON_PROBE, "off": ReportMode.OFF}
_REPORT_FIELDS = {"busy_reqs": "running_and_waiting", "pending": "waiting"}  # others are not used
_IS_POLLED = {"pushed": False, "on_request": True}

# ---------------------------------------------------------------- the wire page's keys

_ReadValue: TypeAlias = Callable[[ObjectReader, str], Any]


@dataclass(slots=True, frozen=True)
class _Key:
    """Where a setting stands on the wire, and how it is read.

    Attributes:
        setting: The field of `Settings`.
        section: The section of the JSON object; empty for the object itself.
        name: The key within that section.
        read: Reads the value from a section and a key.
    """

    setting: str
    section: str
    name: str
    read: _ReadValue


def _number(default: float, **bounds: float) -> _ReadValue:
    return lambda section, name: section.number(name, default, **bounds)


def _integer(default: int, least: int = 0) -> _ReadValue:
    return lambda section, name: section.integer(name, default, least)


def _choice(choices: Mapping[str, Any], default: str) -> _ReadValue:
    return lambda section, name: section.choice(name, choices, default)


def _is_set(section: ObjectReader, name: str) -> bool:
    return section.boolean(name, False)


def _count(section: ObjectReader, name: str) -> int:
    """The length of an array, and 1 for an empty one."""
    return max(1, len(section.array(name, [])))


def _report_fields(section: ObjectReader, name: str) -> tuple[str, ...]:
    return tuple(_REPORT_FIELDS.get(str(field), "") for field in section.array(name, []))


# Their order is that of the checks: the first one that fails is reported.
_KEYS = (
    _Key("instance_index", "", "Me", _integer(0)),
    _Key("instances", "", "PeersTotal", _integer(1, least=1)),
    _Key("tier", "", "Tier", _integer(0)),
    _Key("tiers", "", "Tiers", _count),
    _Key("tick_ms", "", "TickMs", _number(1.0, least=0.001)),
    _Key("polled_discovery", "", "Discovery", _choice(_IS_POLLED, "pushed")),
    _Key("poll_interval_ms", "Guarantees", "AskWithinMs", _number(10_000.0)),
    _Key("drain_grace_ms", "Guarantees", "DrainGraceMs", _number(0.0)),
    _Key("response_slack_ms", "Guarantees", "AnswerSlackMs", _number(0.0)),
    _Key("initial_capacity_share", "Guarantees", "ColdShare", _number(0.1, most=1.0)),
    _Key("warm_up_ms", "Guarantees", "ColdMs", _number(30_000.0)),
    _Key("overload_multiple", "Guarantees", "FallMultiple", _number(2.0, least=0.001)),
    _Key("overload_window_ms", "Guarantees", "FallMs", _number(2_000.0, least=0.001)),
    _Key("max_attempts", "PolicyLimits", "SendCap", _integer(1, least=1)),
    _Key("may_cancel", "PolicyLimits", "MayCancel", _is_set),
    _Key("may_probe", "PolicyLimits", "MayProbe", _is_set),
    _Key("hedging_allowed", "PolicyLimits", "SecondCopies", _is_set),
    _Key("connection_idle_ms", "PolicyLimits", "ConnIdleMs", _number(60_000.0)),
    _Key("connect_timeout_ms", "PolicyLimits", "ConnectTimeoutMs", _number(250.0)),
    _Key("retry_advice", "PolicyLimits", "RetryAfter", _is_set),
    _Key("max_retry_after_ms", "PolicyLimits", "MaxRetryAfterMs", _number(0.0)),
    _Key("clients_mark_retries", "Clients", "MarksRetry", _is_set),
    _Key("propagates_deadline", "FamilyInfo", "PassesDeadline", _is_set),
    _Key("report_mode", "Stats", "How", _choice(_REPORT_MODES, "off")),
    _Key("report_fields", "Stats", "Fields", _report_fields),
    _Key("over_quota_weight", "", "OverShareWorth", _number(1.0)),
    _Key("price_cross_zone", "Deductions", "CrossZone", _number(0.0)),
    _Key("price_probe", "Deductions", "Probe", _number(0.0)),
    _Key("price_waste", "Deductions", "Waste", _number(0.0)),
    _Key("price_late_fail", "Deductions", "LateFail", _number(0.0)),
)

# Checked to be objects before any key is read.
_SECTIONS = ("PolicyLimits", "Guarantees", "Deductions", "Stats")


def decode_settings(settings_json: bytes) -> Settings:
    """Turn the settings text of `hello` into `Settings`.

    Raises:
        SettingsError: The text is not JSON, or a value makes no sense; names the key and the value.
    """
    try:
        document = ObjectReader(json.loads(settings_json), "")
    except (ValueError, RecursionError) as problem:
        raise SettingsError(f"settings: not JSON: {problem}") from problem
    for name in _SECTIONS:
        document.section(name)
    zones = _count(document, "Zones")
    own_zone = document.integer("MyZone", 0)
    if own_zone >= zones:
        raise SettingsError(f"MyZone: {own_zone} is not below the number of zones, {zones}")
    return Settings(
        classes=tuple(_request_class(section) for section in document.objects("Categories")),
        tenants=tuple(_tenant(section) for section in document.objects("Tenants", [])),
        zones=zones,
        own_zone=own_zone,
        **{key.setting: _read(document, key) for key in _KEYS},
    )


def _read(document: ObjectReader, key: _Key) -> Any:
    section = document.section(key.section) if key.section else document
    return key.read(section, key.name)


def _request_class(section: ObjectReader) -> RequestClass:
    effect = section.choice("Effect", _EFFECTS)
    has_key = effect is Effect.IDEMPOTENT_WITH_KEY
    return RequestClass(
        objective_ms=section.number("AimMs", least=0.001),
        deadline_ms=section.number("HardLimitMs", least=0.001),
        effect=effect,
        priority_weight=section.number("Worth", 1.0),
        late_priority_weight=section.number("LateWorth", 0.0),
        deduplication_scope=section.choice("Group", _SCOPES) if has_key else DeduplicationScope.ALL,
        deduplication_ms=section.number("MemorySpanMs") if has_key else 0.0,
        streaming=section.boolean("Streaming", False),
        objective_stretch=section.number("AimStretch", 0.0),
        name=section.text("Name"),
    )


def _tenant(section: ObjectReader) -> Tenant:
    return Tenant(section.number("QuotaPerS"), section.number("Fraction", 0.0), section.text("Name"))
