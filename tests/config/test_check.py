"""The complete check: reports every error at once, with line, key, value and expectation."""

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


def test_the_example_configuration_is_valid_and_has_no_warnings() -> None:
    found = check(read(str(ROOT / "deploy" / "own-example.yaml")))
    assert found.warnings == ()
    settings = pool_settings(found.model, found.model.pools["price-store"])
    assert [request_class.name for request_class in settings.classes][3] == "place-order"
    assert settings.tier == 2  # not the first tier: this pool does not reject requests early


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
        "f.yaml:1: format: expected 1, got 2",
        "f.yaml:3: listeners.front.address: expected an IPv4 address and port, such as 127.0.0.1:8080,"
        " got 'localhost:80'",
        "classes.look.effect: expected 'safe', 'keyed' or 'unsafe', got 'maybe'",
        "classes.look.aim_ms: expected a number greater than 0, got 0",
        "pools.web.servers.w1.address: expected a port from 0 to 65535 after the colon,"
        " got '127.0.0.1:99999'",
        "pools.web.servers.w1.wieght: unknown key with 2 as its value",
        "pools.web.max_attempts: expected a whole number, got 'many'",
    ):
        assert words in reported


@pytest.mark.parametrize(
    ("change", "words"),
    [
        (
            {"default": {"pool": "wbe"}},
            "default.pool: expected the name of a pool (there are: orders, web), got 'wbe'",
        ),
        (
            {"routes__0__to": {"pool": "x"}},
            "routes[0].to.pool: expected the name of a pool (there are: orders, web), got 'x'",
        ),
        (
            {"routes__0__to": {"weighted": {"pools": [{"pool": "y", "weight": 1}]}}},
            "routes[0].to.weighted.pools[0].pool: expected the name of a pool (there are: orders, web),"
            " got 'y'",
        ),
        (
            {"routes__0__match": {"classes": ["lok"]}},
            "routes[0].match.classes[0]: expected the name of a class (there are: look, order), got 'lok'",
        ),
        (
            {"routes__0__match": {"listeners": ["back"]}},
            "expected the name of a listener (there are: front), got 'back'",
        ),
        (
            {"default_class": "none"},
            "default_class: expected the name of a class (there are: look, order), got 'none'",
        ),
        (
            {"routes__0__match": {"hosts": ["a:80"]}},
            "expected a host without a port, or *. and a host, got 'a:80'",
        ),
        (
            {"routes__0__match": {"path": {"regex": "(a"}}},
            "expected a regular expression that RE2 accepts (missing ): (a), got '(a'",
        ),
        (
            {"routes__0__match": {"path": {"regex": "(a)\\1"}}},
            "expected a regular expression that RE2 accepts (invalid escape sequence: \\1), got '(a)",
        ),
        ({"routes__0__match": {"path": {"prefix": "a"}}}, "expected a path that starts with /, got 'a'"),
        (
            {"routes__0__match": {"path": {"exact": "/a?b"}}},
            "expected a path without ? and #, since paths are matched without their query, got '/a?b'",
        ),
        (
            {"routes__0__match": {"path": {"exact": "/a", "prefix": "/b"}}},
            "path: expected exactly one of exact, prefix and regex, got exact and prefix",
        ),
        (
            {"routes__0__match": {"headers": [{"name": "X"}]}},
            "headers[0]: expected exactly one of exact, prefix, regex and present, got none",
        ),
        ({"routes__0__to": {}}, "expected exactly one of pool, weighted and answer, got none"),
        (
            {"routes__0__to": {"weighted": {"pools": [{"pool": "web", "weight": 0}]}}},
            "expected at least one weight above 0, got only weights of 0",
        ),
        (
            {"pools__web": {"servers": {}, "source": {"discovery": "127.0.0.1:1"}}},
            "expected exactly one of servers and source, got servers and source",
        ),
        ({"pools__web": {}}, "pools.web: expected exactly one of servers and source, got none"),
        (
            {"classes__look__aim_ms": 9000},
            "classes.look: aim_ms: expected at most deadline_ms, 8000, got 9000",
        ),
        (
            {"pools__web__servers": {"a": {"address": "127.0.0.1:1"}, "b": {"address": "127.0.0.1:1"}}},
            "pools.web.servers.b.address: expected an address of its own, got '127.0.0.1:1',"
            " which server 'a' has",
        ),
        (
            {"listeners": {"a": {"address": "127.0.0.1:1"}, "b": {"address": "127.0.0.1:1"}}},
            "listeners.b.address: expected an address of its own, got '127.0.0.1:1', which listener 'a' has",
        ),
        ({"limits": {"sockets": 3}}, "limits.sockets: expected a number of at least 64, got 3"),
        (
            {"pools__web__drain_grace_ms": 5000},
            "pools.web.drain_grace_ms: expected a number of at most 2000, got 5000",
        ),
        ({"classes": {}}, "classes: expected at least 1 items, got 0"),
        (
            {"routes__0__match": {"headers": [{"name": "X", "present": True}] * 17}},
            "expected at most 16 items, got 17",
        ),
        (
            {"tenants": {f"t{number}": {"quota_per_s": 1} for number in range(1_001)}},
            "tenants: expected at most 1000 items, got 1001",
        ),
        (
            {"pools__a b": {"servers": {}}},
            "pools.a b: expected a text that matches ^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$, got 'a b'",
        ),
        ({"format": None}, "format: required key is missing"),
    ],
)
def test_an_error_names_the_key_the_expectation_and_the_value(change: dict[str, Any], words: str) -> None:
    with pytest.raises(CheckError) as caught:
        checked(sample(**change))
    assert words in "\n".join(map(str, caught.value.problems))


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (b"", "expected a mapping of keys, got null"),
        (b"[1]", "expected a mapping of keys, got a list"),
        (b"\xff\xfe\xff", "not YAML"),
    ],
)
def test_a_file_without_a_mapping_is_rejected(data: bytes, words: str) -> None:
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
    assert any(
        "routes[1]: this route can never match: the earlier route 'orders' takes every request" in line
        for line in warnings
    )
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


def test_at_most_200_of_thousands_of_errors_are_reported() -> None:
    data = sample()
    data["routes"] = [{"name": f"r{n}", "to": {"pool": "none"}} for n in range(5_000)]
    with pytest.raises(CheckError) as caught:
        checked(data)
    assert len(caught.value.problems) == 201
    # There are 5,000 errors and one warning about a pool that no route leads to; 200 messages are shown.
    assert "4801 more problems" in caught.value.problems[-1].text
