"""A small configuration as plain data, and variants of it for tests."""

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
    """Return BASE with changes: `pools__web__max_attempts=3` sets a nested key, None removes it."""
    data = deepcopy(BASE)
    for path, value in changes.items():
        *parents, last = path.split("__")
        parent: Any = data
        for name in parents:
            parent = parent[int(name)] if isinstance(parent, list) else parent.setdefault(name, {})
        if value is None:
            del parent[last]
        else:
            parent[last] = value
    return data


def checked(data: dict[str, Any] | None = None) -> CheckedConfiguration:
    return check_text(json.dumps(data or BASE))
