"""Decoder of an instance's settings: the JSON text of a `hello` record to `Settings`.

Only this module maps the keys of the wire protocol (`WIRE-sandhatch.md`, "What does an instance know at
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

# ---------------------------------------------------------------- enumerated values of the wire protocol

_EFFECTS = {
    "read_like": Effect.IDEMPOTENT,
    "idempotency_key": Effect.IDEMPOTENT_WITH_KEY,
    "non_idempotent": Effect.NON_IDEMPOTENT,
}
_DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
_REPORT_MODES = {"inline": ReportMode.INLINE, "on_probe": ReportMode.ON_PROBE, "off": ReportMode.OFF}
# Fields of a load report that the balancer uses; other fields are ignored.
_REPORT_FIELDS = {"busy_reqs": "running_and_waiting", "pending": "waiting"}
_IS_POLLED = {"pushed": False, "on_request": True}

# ---------------------------------------------------------------- keys of the wire protocol

_ReadValue: TypeAlias = Callable[[ObjectReader, str], Any]


@dataclass(slots=True, frozen=True)
class _KeyMapping:
    """The key of a setting on the wire, and the function that reads its value.

    Attributes:
        setting: Name of the field of `Settings`.
        section: Name of the section of the JSON object; empty for the object itself.
        name: Name of the key within the section.
        read: Function that reads the value of a key of a section.
    """

    setting: str
    section: str
    name: str
    read: _ReadValue


def _number_reader(default: float, **bounds: float) -> _ReadValue:
    return lambda section, name: section.number(name, default, **bounds)


def _integer_reader(default: int, minimum: int = 0) -> _ReadValue:
    return lambda section, name: section.integer(name, default, minimum)


def _choice_reader(choices: Mapping[str, Any], default: str) -> _ReadValue:
    return lambda section, name: section.choice(name, choices, default)


def _read_flag(section: ObjectReader, name: str) -> bool:
    return section.boolean(name, False)


def _read_count(section: ObjectReader, name: str) -> int:
    """Return the length of an array, and 1 for an empty array."""
    return max(1, len(section.array(name, [])))


def _read_report_fields(section: ObjectReader, name: str) -> tuple[str, ...]:
    return tuple(_REPORT_FIELDS.get(str(field), "") for field in section.array(name, []))


# The keys are checked in this order, and only the first invalid one is reported.
_KEY_MAPPINGS = (
    _KeyMapping("instance_index", "", "Me", _integer_reader(0)),
    _KeyMapping("instances", "", "PeersTotal", _integer_reader(1, minimum=1)),
    _KeyMapping("tier", "", "Tier", _integer_reader(0)),
    _KeyMapping("tiers", "", "Tiers", _read_count),
    _KeyMapping("tick_ms", "", "TickMs", _number_reader(1.0, minimum=0.001)),
    _KeyMapping("polled_discovery", "", "Discovery", _choice_reader(_IS_POLLED, "pushed")),
    _KeyMapping("poll_interval_ms", "Guarantees", "AskWithinMs", _number_reader(10_000.0)),
    _KeyMapping("drain_grace_ms", "Guarantees", "DrainGraceMs", _number_reader(0.0)),
    _KeyMapping("response_slack_ms", "Guarantees", "AnswerSlackMs", _number_reader(0.0)),
    _KeyMapping("initial_capacity_share", "Guarantees", "ColdShare", _number_reader(0.1, maximum=1.0)),
    _KeyMapping("warm_up_ms", "Guarantees", "ColdMs", _number_reader(30_000.0)),
    _KeyMapping("overload_multiple", "Guarantees", "FallMultiple", _number_reader(2.0, minimum=0.001)),
    _KeyMapping("overload_window_ms", "Guarantees", "FallMs", _number_reader(2_000.0, minimum=0.001)),
    _KeyMapping("max_attempts", "PolicyLimits", "SendCap", _integer_reader(1, minimum=1)),
    _KeyMapping("may_cancel", "PolicyLimits", "MayCancel", _read_flag),
    _KeyMapping("may_probe", "PolicyLimits", "MayProbe", _read_flag),
    _KeyMapping("hedging_allowed", "PolicyLimits", "SecondCopies", _read_flag),
    _KeyMapping("connection_idle_ms", "PolicyLimits", "ConnIdleMs", _number_reader(60_000.0)),
    _KeyMapping("connect_timeout_ms", "PolicyLimits", "ConnectTimeoutMs", _number_reader(250.0)),
    _KeyMapping("retry_advice", "PolicyLimits", "RetryAfter", _read_flag),
    _KeyMapping("max_retry_after_ms", "PolicyLimits", "MaxRetryAfterMs", _number_reader(0.0)),
    _KeyMapping("clients_mark_retries", "Clients", "MarksRetry", _read_flag),
    _KeyMapping("propagates_deadline", "FamilyInfo", "PassesDeadline", _read_flag),
    _KeyMapping("report_mode", "Stats", "How", _choice_reader(_REPORT_MODES, "off")),
    _KeyMapping("report_fields", "Stats", "Fields", _read_report_fields),
    _KeyMapping("over_quota_weight", "", "OverShareWorth", _number_reader(1.0)),
    _KeyMapping("price_cross_zone", "Deductions", "CrossZone", _number_reader(0.0)),
    _KeyMapping("price_probe", "Deductions", "Probe", _number_reader(0.0)),
    _KeyMapping("price_waste", "Deductions", "Waste", _number_reader(0.0)),
    _KeyMapping("price_late_fail", "Deductions", "LateFail", _number_reader(0.0)),
)

# Sections that are checked to be objects before any key is read.
_SECTIONS = ("PolicyLimits", "Guarantees", "Deductions", "Stats")


def decode_settings(settings_json: bytes) -> Settings:
    """Decode the settings text of a `hello` record.

    Raises:
        SettingsError: The text is not JSON, or a value is invalid; the message names the key and the value.
    """
    try:
        document = ObjectReader(json.loads(settings_json), "")
    except (ValueError, RecursionError) as exception:
        raise SettingsError(f"settings: not JSON: {exception}") from exception
    for name in _SECTIONS:
        document.section(name)
    zones = _read_count(document, "Zones")
    own_zone = document.integer("MyZone", 0)
    if own_zone >= zones:
        raise SettingsError(f"MyZone: {own_zone} is not below the number of zones, {zones}")
    return Settings(
        classes=tuple(_read_request_class(section) for section in document.objects("Categories")),
        tenants=tuple(_read_tenant(section) for section in document.objects("Tenants", [])),
        zones=zones,
        own_zone=own_zone,
        **{mapping.setting: _read_setting(document, mapping) for mapping in _KEY_MAPPINGS},
    )


def _read_setting(document: ObjectReader, mapping: _KeyMapping) -> Any:
    section = document.section(mapping.section) if mapping.section else document
    return mapping.read(section, mapping.name)


def _read_request_class(section: ObjectReader) -> RequestClass:
    effect = section.choice("Effect", _EFFECTS)
    has_key = effect is Effect.IDEMPOTENT_WITH_KEY
    return RequestClass(
        objective_ms=section.number("AimMs", minimum=0.001),
        deadline_ms=section.number("HardLimitMs", minimum=0.001),
        effect=effect,
        priority_weight=section.number("Worth", 1.0),
        late_priority_weight=section.number("LateWorth", 0.0),
        deduplication_scope=section.choice("Group", _DEDUPLICATION_SCOPES)
        if has_key
        else DeduplicationScope.ALL,
        deduplication_ms=section.number("MemorySpanMs") if has_key else 0.0,
        streaming=section.boolean("Streaming", False),
        objective_stretch=section.number("AimStretch", 0.0),
        name=section.label("Name"),
    )


def _read_tenant(section: ObjectReader) -> Tenant:
    return Tenant(section.number("QuotaPerS"), section.number("Fraction", 0.0), section.label("Name"))
