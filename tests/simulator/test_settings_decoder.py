"""Decoding of the settings of a `hello` record, and the errors of invalid settings."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from sandhatch.balancing.errors import SettingsError
from sandhatch.balancing.settings import (
    DeduplicationScope,
    Effect,
    ReportMode,
    RequestClass,
    Settings,
    Tenant,
)
from sandhatch.simulator.settings_decoder import decode_settings
from tests.simulator.wire_examples import SETTINGS


def test_settings_are_decoded_and_unknown_keys_are_ignored() -> None:
    settings = decode_settings(json.dumps(SETTINGS).encode())
    assert (settings.zones, settings.own_zone, settings.max_attempts) == (2, 1, 6)
    assert settings.classes[0].deduplication_ms == 9.0
    assert not settings.hedging_allowed


ALL_KEYS: dict[str, Any] = {
    "Categories": [
        {
            "AimMs": 100,
            "AimStretch": 0.5,
            "Effect": "idempotency_key",
            "Group": "cell",
            "HardLimitMs": 400,
            "LateWorth": 0.25,
            "MemorySpanMs": 9,
            "Name": "view",
            "Streaming": True,
            "Worth": 3,
        }
    ],
    "Clients": {"MarksRetry": True},
    "Deductions": {"CrossZone": 0.01, "LateFail": 0.02, "Probe": 0.03, "Waste": 0.04},
    "Discovery": "on_request",
    "FamilyInfo": {"PassesDeadline": True},
    "Guarantees": {
        "AnswerSlackMs": 20,
        "AskWithinMs": 9_000,
        "ColdMs": 24_000,
        "ColdShare": 0.15,
        "DrainGraceMs": 1_500,
        "FallMs": 2_500,
        "FallMultiple": 2.75,
    },
    "Me": 4,
    "MyZone": 1,
    "OverShareWorth": 0.2,
    "PeersTotal": 9,
    "PolicyLimits": {
        "ConnIdleMs": 30_000,
        "ConnectTimeoutMs": 150,
        "MaxRetryAfterMs": 2_000,
        "MayCancel": True,
        "MayProbe": True,
        "RetryAfter": True,
        "SecondCopies": True,
        "SendCap": 5,
    },
    "Stats": {"Fields": ["pending", "cpu_share", "busy_reqs"], "How": "on_probe"},
    "Tenants": [{"Fraction": 0.58, "Name": "one", "QuotaPerS": 97}],
    "TickMs": 6,
    "Tier": 2,
    "Tiers": ["a", "b", "c"],
    "Zones": ["d", "e"],
}


ALL_SETTINGS = Settings(
    classes=(
        RequestClass(
            objective_ms=100.0,
            deadline_ms=400.0,
            effect=Effect.IDEMPOTENT_WITH_KEY,
            priority_weight=3.0,
            late_priority_weight=0.25,
            deduplication_scope=DeduplicationScope.CELL,
            deduplication_ms=9.0,
            streaming=True,
            objective_stretch=0.5,
            name="view",
        ),
    ),
    tenants=(Tenant(quota_per_s=97.0, fraction=0.58, name="one"),),
    zones=2,
    own_zone=1,
    instance_index=4,
    instances=9,
    tier=2,
    tiers=3,
    tick_ms=6.0,
    polled_discovery=True,
    poll_interval_ms=9_000.0,
    drain_grace_ms=1_500.0,
    response_slack_ms=20.0,
    initial_capacity_share=0.15,
    warm_up_ms=24_000.0,
    overload_multiple=2.75,
    overload_window_ms=2_500.0,
    max_attempts=5,
    may_cancel=True,
    may_probe=True,
    hedging_allowed=True,
    connection_idle_ms=30_000.0,
    connect_timeout_ms=150.0,
    retry_advice=True,
    max_retry_after_ms=2_000.0,
    clients_mark_retries=True,
    propagates_deadline=True,
    report_mode=ReportMode.ON_PROBE,
    report_fields=("waiting", "", "running_and_waiting"),
    over_quota_weight=0.2,
    price_cross_zone=0.01,
    price_probe=0.03,
    price_waste=0.04,
    price_late_fail=0.02,
)


def test_each_key_of_the_wire_protocol_is_decoded_to_its_setting() -> None:
    assert decode_settings(json.dumps(ALL_KEYS).encode()) == ALL_SETTINGS


def set_at(path: list[Any], value: Any) -> Callable[[dict[str, Any]], None]:
    """Return a function that sets the value at a path of keys; None removes the key."""

    def change(settings: dict[str, Any]) -> None:
        section: Any = settings
        for key in path[:-1]:
            section = section[key]
        if value is None:
            del section[path[-1]]
        else:
            section[path[-1]] = value

    return change


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (set_at(["Categories"], None), "Categories: missing"),
        (set_at(["Categories"], []), "classes: the list is empty"),
        (set_at(["Categories", 0, "AimMs"], None), r"Categories\[0\].AimMs: missing"),
        (set_at(["Categories", 0, "AimMs"], -5), r"Categories\[0\].AimMs: -5"),
        (set_at(["Categories", 0, "AimMs"], float("nan")), r"Categories\[0\].AimMs: nan"),
        (set_at(["Categories", 0, "AimMs"], 10**400), r"Categories\[0\].AimMs: 1000.* not a finite number"),
        (set_at(["Categories", 0, "HardLimitMs"], "long"), r"Categories\[0\].HardLimitMs: 'long'"),
        (set_at(["Categories", 0, "Effect"], "maybe"), r"Categories\[0\].Effect: 'maybe'"),
        (set_at(["Categories", 0, "Group"], "hall"), r"Categories\[0\].Group: 'hall'"),
        (set_at(["Categories", 0], 7), r"Categories\[0\].: 7 is not an object"),
        (set_at(["PolicyLimits", "MayProbe"], 1), "PolicyLimits.MayProbe: 1"),
        (set_at(["PolicyLimits", "SendCap"], 1.5), "PolicyLimits.SendCap: 1.5"),
        (set_at(["Guarantees", "ColdShare"], 7), "ColdShare: 7"),
        (set_at(["MyZone"], 2), "MyZone: 2"),
        (set_at(["Zones"], "ab"), "Zones: 'ab' is not a list"),
    ],
)
def test_invalid_settings_raise_error_that_names_key_and_value(
    change: Callable[[dict[str, Any]], None], message: str
) -> None:
    settings = json.loads(json.dumps(SETTINGS))
    change(settings)
    with pytest.raises(SettingsError, match=message):
        decode_settings(json.dumps(settings).encode())


def test_label_that_is_null_is_read_as_absent() -> None:
    settings = json.loads(json.dumps(SETTINGS))
    settings["Categories"][0]["Name"] = None
    assert decode_settings(json.dumps(settings).encode()).classes[0].name == ""


def test_settings_that_are_not_json_raise_error() -> None:
    with pytest.raises(SettingsError, match="not JSON"):
        decode_settings(b"{")
