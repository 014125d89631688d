"""The settings of `hello`, decoded, and the errors of malformed ones."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from sandhatch.balancing.errors import SettingsError
from sandhatch.simulator.settings_decoder import decode_settings
from tests.simulator.wire_examples import SETTINGS


def test_settings_are_decoded_and_unknown_keys_ignored() -> None:
    settings = decode_settings(json.dumps(SETTINGS).encode())
    assert (settings.zones, settings.own_zone, settings.max_attempts) == (2, 1, 6)
    assert settings.classes[0].deduplication_ms == 9.0
    assert not settings.hedging_allowed


def _set(path: list[Any], value: Any) -> Callable[[dict[str, Any]], None]:
    """A change of one value; None removes it."""

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
        (_set(["Categories"], None), "Categories: missing"),
        (_set(["Categories"], []), "classes: the list is empty"),
        (_set(["Categories", 0, "AimMs"], None), r"Categories\[0\].AimMs: missing"),
        (_set(["Categories", 0, "AimMs"], -5), r"Categories\[0\].AimMs: -5"),
        (_set(["Categories", 0, "AimMs"], float("nan")), r"Categories\[0\].AimMs: nan"),
        (_set(["Categories", 0, "HardLimitMs"], "long"), r"Categories\[0\].HardLimitMs: 'long'"),
        (_set(["Categories", 0, "Effect"], "maybe"), r"Categories\[0\].Effect: 'maybe'"),
        (_set(["Categories", 0, "Group"], "hall"), r"Categories\[0\].Group: 'hall'"),
        (_set(["Categories", 0], 7), r"Categories\[0\].: 7 is not an object"),
        (_set(["PolicyLimits", "MayProbe"], 1), "PolicyLimits.MayProbe: 1"),
        (_set(["PolicyLimits", "SendCap"], 1.5), "PolicyLimits.SendCap: 1.5"),
        (_set(["Guarantees", "ColdShare"], 7), "ColdShare: 7"),
        (_set(["MyZone"], 2), "MyZone: 2"),
        (_set(["Zones"], "ab"), "Zones: 'ab' is not a list"),
    ],
)
def test_malformed_settings_are_an_error_that_names_key_and_value(
    change: Callable[[dict[str, Any]], None], message: str
) -> None:
    settings = json.loads(json.dumps(SETTINGS))
    change(settings)
    with pytest.raises(SettingsError, match=message):
        decode_settings(json.dumps(settings).encode())


def test_settings_that_are_not_json_are_an_error() -> None:
    with pytest.raises(SettingsError, match="not JSON"):
        decode_settings(b"{")
