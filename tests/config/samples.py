"""A small configuration as data, to be changed by tests."""

from __future__ import annotations

import json
from copy import deepcopy
from typing import Any

from sandhatch.config.check import CheckedConfiguration, check_text

BASE: dict[str, Any] = {
    "format": 1,
    "listeners": {"front": {"address": "127.0.0.1:0"}},
    "classes": {
        "look": {"effect": "safe", "aim_ms": 2000, "deadline_ms": 8000},
        "order": {"effect": "unsafe", "aim_ms": 4000, "deadline_ms": 8000, "worth": 5},
    },
    "default_class": "look",
    "pools": {
        "web": {"servers": {"w1": {"address": "127.0.0.1:9001"}}},
        "orders": {"servers": {"o1": {"address": "127.0.0.1:9011"}}},
    },
    "routes": [
        {"name": "orders", "match": {"path": {"prefix": "/orders"}}, "to": {"pool": "orders"}},
    ],
    "default": {"pool": "web"},
}


def sample(**changes: Any) -> dict[str, Any]:
    """BASE with changes: `pools__web__max_attempts=3` sets a key inside; a value of None removes it."""
    data = deepcopy(BASE)
    for path, value in changes.items():
        *holders, last = path.split("__")
        holder: Any = data
        for name in holders:
            holder = holder[int(name)] if isinstance(holder, list) else holder.setdefault(name, {})
        if value is None:
            del holder[last]
        else:
            holder[last] = value
    return data


def checked(data: dict[str, Any] | None = None) -> CheckedConfiguration:
    return check_text(json.dumps(data or BASE))
