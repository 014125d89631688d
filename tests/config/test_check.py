"""The complete check: every error at once, each with line, key, value and what would be right."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from sandhatch.config.check import check, check_text
from sandhatch.config.document import read
from sandhatch.config.errors import CheckError
from sandhatch.config.pool_settings import pool_settings
from tests.config.samples import checked, sample

ROOT = Path(__file__).parent.parent.parent


def problems(text: str) -> list[str]:
    with pytest.raises(CheckError) as caught:
        check_text(text, "f.yaml")
    return [str(problem) for problem in caught.value.problems]


def test_the_example_is_valid_and_has_no_warnings() -> None:
    found = check(read(str(ROOT / "deploy" / "own-example.yaml")))
    assert found.warnings == ()
    settings = pool_settings(found.model, found.model.pools["price-store"])
    assert [request_class.name for request_class in settings.classes][3] == "place-order"
    assert settings.tier == 2  # below the first tier nothing is rejected before work is spent


def test_every_error_is_reported_at_once_with_its_line() -> None:
    text = """\
format: 2
listeners:
  front: {address: localhost:80}
classes:
  look: {effect: maybe, aim_ms: 0, deadline_ms: 100}
pools:
  web:
    servers: {w1: {address: "127.0.0.1:99999", wieght: 2}}
    max_attempts: many
routes: []
"""
    found = problems(text)
    assert [line.split(":")[1] for line in found] == ["1", "3", "5", "5", "8", "8", "9"]
    reported = "\n".join(found)
    for words in (
        "f.yaml:1: format: 2: one of 1 is wanted",
        "listeners.front.address: 'localhost:80': an IPv4 address and port is wanted",
        "classes.look.effect: 'maybe': one of 'safe', 'keyed' or 'unsafe' is wanted",
        "classes.look.aim_ms: 0: it should be greater than 0",
        "pools.web.servers.w1.address: '127.0.0.1:99999': a port from 0 to 65535",
        "pools.web.servers.w1.wieght: 2: no such key here",
        "pools.web.max_attempts: 'many': a whole number is wanted",
    ):
        assert words in reported


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"default": {"pool": "wbe"}}, "default.pool: 'wbe' names no pool; there are: orders, web"),
        ({"routes__0__to": {"pool": "x"}}, "routes[0].to.pool: 'x' names no pool"),
        (
            {"routes__0__to": {"weighted": {"pools": [{"pool": "y", "weight": 1}]}}},
            "routes[0].to.weighted.pools[0].pool: 'y' names no pool",
        ),
        ({"routes__0__match": {"classes": ["lok"]}}, "routes[0].match.classes[0]: 'lok' names no class"),
        ({"routes__0__match": {"listeners": ["back"]}}, "names no listener; there are: front"),
        ({"default_class": "none"}, "default_class: 'none' names no class"),
        ({"routes__0__match": {"hosts": ["a:80"]}}, "a host without port"),
        ({"routes__0__match": {"path": {"regex": "(a"}}}, "not a regular expression"),
        ({"routes__0__match": {"path": {"regex": "(a)\\1"}}}, "not a regular expression of RE2"),
        ({"routes__0__match": {"path": {"prefix": "a"}}}, "a path starts with /"),
        ({"routes__0__match": {"path": {"exact": "/a?b"}}}, "without its query"),
        ({"routes__0__match": {"path": {"exact": "/a", "prefix": "/b"}}}, "exactly one of exact"),
        ({"routes__0__match": {"headers": [{"name": "X"}]}}, "exactly one of exact"),
        ({"routes__0__to": {}}, "exactly one of pool, weighted and answer"),
        (
            {"routes__0__to": {"weighted": {"pools": [{"pool": "web", "weight": 0}]}}},
            "at least one weight above 0",
        ),
        ({"pools__web": {"servers": {}, "source": {"discovery": "127.0.0.1:1"}}}, "either servers or source"),
        ({"pools__web": {}}, "either servers or source"),
        ({"classes__look__aim_ms": 9000}, "past deadline_ms"),
        (
            {"pools__web__servers": {"a": {"address": "127.0.0.1:1"}, "b": {"address": "127.0.0.1:1"}}},
            "pools.web.servers.b.address: '127.0.0.1:1' is server 'a''s already",
        ),
        (
            {"listeners": {"a": {"address": "127.0.0.1:1"}, "b": {"address": "127.0.0.1:1"}}},
            "is listener 'a''s already",
        ),
        ({"limits": {"sockets": 3}}, "limits.sockets: 3: it should be greater than or equal to 64"),
        ({"pools__web__drain_grace_ms": 5000}, "less than or equal to 2000"),
        ({"classes": {}}, "classes"),
        ({"routes__0__match": {"headers": [{"name": "X", "present": True}] * 17}}, "at most 16 items"),
        ({"tenants": {f"t{number}": {"quota_per_s": 1} for number in range(1_001)}}, "at most 1000 items"),
        ({"format": None}, "format: this key is wanted"),
    ],
)
def test_errors_between_keys_name_the_key_and_the_value(change: dict[str, Any], words: str) -> None:
    with pytest.raises(CheckError) as caught:
        checked(sample(**change))
    assert words in "\n".join(map(str, caught.value.problems))


@pytest.mark.parametrize(
    ("data", "words"), [(b"", "no mapping"), (b"[1]", "no mapping"), (b"\xff\xfe\xff", "")]
)
def test_a_file_that_is_no_mapping_is_rejected(data: bytes, words: str) -> None:
    with pytest.raises(CheckError) as caught:
        check_text(data)
    assert words in str(caught.value)


def test_unused_pools_and_routes_that_never_match_are_warnings() -> None:
    data = sample(pools__spare={"servers": {"s": {"address": "127.0.0.1:1", "state": "draining"}}})
    data["routes"] += [
        {
            "name": "late",
            "match": {"path": {"exact": "/orders/new"}, "methods": ["POST"]},
            "to": {"pool": "web"},
        },
        {"name": "late", "match": {"path": {"exact": "/x"}}, "to": {"pool": "web"}},
    ]
    data["routes"][2]["name"] = "fine"
    warnings = [str(problem) for problem in checked(data).warnings]
    assert any("pools.spare: no route leads to this pool" in line for line in warnings)
    assert any("no server is ready" in line for line in warnings)
    assert any("routes[1]: it can never match: 'orders' before it" in line for line in warnings)
    assert len(warnings) == 3


def test_ten_thousand_routes_are_checked_and_compiled() -> None:
    data = sample()
    data["routes"] = [
        {"name": f"r{n}", "match": {"path": {"prefix": f"/tier{n % 7}/p{n}"}}, "to": {"pool": "web"}}
        for n in range(10_000)
    ]
    found = checked(data)
    assert len(found.table.routes) == 10_000
    assert found.warnings[0].key == "pools.orders"


def test_of_thousands_of_errors_a_bounded_number_is_reported() -> None:
    data = sample()
    data["routes"] = [{"name": f"r{n}", "to": {"pool": "none"}} for n in range(5_000)]
    with pytest.raises(CheckError) as caught:
        checked(data)
    assert len(caught.value.problems) == 201
    # 5,000 errors and the warning of a pool that no route leads to.
    assert "4801 more problems" in caught.value.problems[-1].text
