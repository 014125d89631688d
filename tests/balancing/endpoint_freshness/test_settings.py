"""Settings that affect the age of the endpoint list and servers that are warming up.

An error names an invalid value. An unusual but valid value neither stops an instance nor makes it send
requests to discovery without a pause.
"""

from __future__ import annotations

import json
from random import Random
from typing import Any

import pytest

from sandhatch.balancing.actions import SetTimer, WatchList
from sandhatch.balancing.endpoint_freshness import (
    MIN_NOTIFIED_MS,
    NOTIFIED_MS,
    Freshness,
    list_age_bound_ms,
)
from sandhatch.balancing.events import ListKind, ListUpdate
from sandhatch.config.platform import decode
from sandhatch.runtime.errors import ConfigError
from testkit.platform import SETTINGS, config_data, entry

KEYS = ["DrainGraceMs", "AskWithinMs", "ColdMs", "FallMs", "PeersTotal"]
INVALID_VALUES = [-1, -0.5, "soon", None, True, [], {}, 1e400]
MAY_BE_ZERO = {"DrainGraceMs", "AskWithinMs", "ColdMs"}


def settings_with(key: str, value: Any) -> dict[str, Any]:
    settings = SETTINGS | {"Discovery": "on_request", "Guarantees": dict(SETTINGS["Guarantees"])}
    section = settings if key == "PeersTotal" else settings["Guarantees"]
    if value is ...:
        section.pop(key, None)
    else:
        section[key] = value
    return settings


def text_of(settings: dict[str, Any]) -> str:
    return json.dumps(config_data([entry("a", 9)], 9, settings=settings))


@pytest.mark.parametrize("value", INVALID_VALUES, ids=repr)
@pytest.mark.parametrize("key", KEYS)
def test_error_names_an_invalid_value_and_its_key(key: str, value: Any) -> None:
    if value is None and key != "DrainGraceMs":  # null means the default; DrainGraceMs rejects it
        assert decode(text_of(settings_with(key, None)), {}) == decode(text_of(settings_with(key, ...)), {})
        return
    with pytest.raises(ConfigError) as raised:
        decode(text_of(settings_with(key, value)), {})
    message = str(raised.value)
    assert key in message
    assert "\n" not in message
    assert repr(value) in message or "inf" in message


@pytest.mark.parametrize("key", KEYS)
def test_zero_is_accepted_or_rejected_with_its_key(key: str) -> None:
    text = text_of(settings_with(key, 0))
    if key in MAY_BE_ZERO:
        decode(text, {})
        return
    with pytest.raises(ConfigError, match=key):
        decode(text, {})


@pytest.mark.parametrize("key", KEYS)
@pytest.mark.parametrize("value", [..., 0.0, 1.0, 1e12], ids=["missing", "zero", "tiny", "vast"])
def test_request_rate_to_discovery_is_bounded_for_any_accepted_value(key: str, value: Any) -> None:
    """While all requests fail for a minute, their mean rate is between one per 10 s and six per second."""
    if value == 0.0 and key not in MAY_BE_ZERO:
        return
    if key == "DrainGraceMs" and value == 1e12:
        value = 9e8  # the largest accepted value
    if key == "PeersTotal" and value is not ...:
        value = int(value)
    settings = decode(text_of(settings_with(key, value)), {}).settings
    assert MIN_NOTIFIED_MS <= list_age_bound_ms(settings) <= NOTIFIED_MS
    freshness = Freshness(settings, Random(1))
    now = 0.0
    requests = []
    actions = freshness.on_list_update(ListUpdate(ListKind.CACHED, 1), now)
    for _ in range(10_000):
        (action,) = actions
        if isinstance(action, SetTimer):
            now += action.delay_ms
            if now > 60_000.0:
                break
            actions = freshness.on_timer(action.cookie, now)
        else:
            assert isinstance(action, WatchList)
            requests.append(now)
            actions = freshness.on_list_update(ListUpdate(ListKind.FAILED, 1, call=action.call), now)
    else:
        raise AssertionError(f"{len(requests)} requests in {now:.0f} ms")
    assert 6 <= len(requests) <= 60 * 6
