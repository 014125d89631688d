"""Parsing of YAML into data with line numbers, and errors that name the line."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from sandhatch.config.document import MAX_BYTES, parse, read
from sandhatch.config.errors import DocumentError


def test_scalars_follow_the_core_schema() -> None:
    """Guards against the conversions of YAML 1.1, which makes names like `no` booleans and 22:30 a number."""
    data = parse("a: no\nb: 22:30\nc: 1.5\nd: true\ne: ~\nf: '1'\ng: 0x1f\nh: 1_000\ni: -3\n").data
    assert data == {
        "a": "no",
        "b": "22:30",
        "c": 1.5,
        "d": True,
        "e": None,
        "f": "1",
        "g": "0x1f",
        "h": "1_000",
        "i": -3,
    }


def test_keys_and_list_items_have_their_line_numbers() -> None:
    document = parse("pools:\n  web:\n    servers: {}\nroutes:\n  - name: a\n  - name: b\n")
    assert document.line(("pools", "web", "servers")) == 3
    assert document.line(("routes", 1, "name")) == 6
    assert document.line(("pools", "web", "absent")) == 2


def test_json_is_accepted() -> None:
    data = {"a": [1, 2.5, "x", None, True], "b": {"c": {}}}
    assert parse(json.dumps(data)).data == data


@pytest.mark.parametrize(
    ("text", "line", "words"),
    [
        ("a: 1\na: 2\n", 2, "expected each key once, got 'a' a second time; first in line 1"),
        ("a: &x 1\nb: *x\n", 2, "expected the value itself, got alias *x: aliases are not supported"),
        (
            "a: !!python/object:os.system x\n",
            1,
            "got tag tag:yaml.org,2002:python/object:os.system: tags are not supported",
        ),
        ("a: [1, 2\nb: 3\n", 2, "not YAML"),
        ("a: 1\n---\nb: 2\n", 2, "expected one document in the file, got a second one"),
        ("? [a]\n: 1\n", 1, "expected a plain word as a key, got a mapping or a list"),
        ("a:\n\t- b\n", 2, "not YAML"),
        ("[" * 100, 1, "expected at most 32 levels of nesting, got more"),
        pytest.param("[" * 100_000, 1, "nest", id="a hundred thousand deep"),
        ("\0", 0, "not YAML"),
    ],
)
def test_unsupported_or_invalid_yaml_is_rejected_with_its_line(text: str, line: int, words: str) -> None:
    with pytest.raises(DocumentError) as caught:
        parse(text, "f.yaml")
    assert caught.value.problem.line == line
    assert words in str(caught.value)


def test_a_configuration_of_100_mb_is_rejected_before_it_is_read(tmp_path: Path) -> None:
    path = tmp_path / "large.yaml"
    with path.open("wb") as file:
        file.truncate(100 * 1024 * 1024)
    with pytest.raises(DocumentError, match=f"large.yaml: expected at most {MAX_BYTES} bytes, got 104857600"):
        read(str(path))


def test_nested_aliases_are_rejected_before_they_are_expanded() -> None:
    lines = ["a0: &a0 [x, x]"] + [f"a{n}: &a{n} [*a{n - 1}, *a{n - 1}]" for n in range(1, 60)]
    with pytest.raises(DocumentError, match="aliases"):
        parse("\n".join(lines))
