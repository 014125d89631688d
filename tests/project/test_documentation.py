"""The project's pages name files and folders that exist."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.project.documentation import missing_paths, paths_in

ROOT = Path(__file__).parents[2]
PAGES = (
    "README.md",
    "CHANGELOG.md",
    *sorted(str(page.relative_to(ROOT)) for page in (ROOT / "docs").rglob("*.md")),
)


@pytest.mark.parametrize("page", [page for page in PAGES if (ROOT / page).exists()])
def test_a_page_names_only_paths_that_exist(page: str) -> None:
    missing = missing_paths((ROOT / page).read_text(encoding="utf-8"), ROOT)
    assert missing == [], f"{page} names {', '.join(missing)}"


def test_wrong_paths_of_files_and_folders_are_reported(tmp_path: Path) -> None:
    (tmp_path / "sandhatch" / "http1").mkdir(parents=True)
    (tmp_path / "sandhatch" / "http1" / "parser.py").touch()
    text = (
        "The parser is `sandhatch/http1/parser.py` in `sandhatch/http1/`, not `sandhatch/http1/parse.py`.\n"
        "- `tests/http1/` and `testkit/servers.py`, `docs/design`, `deploy/x.yaml`, `benchmarks/start.py`\n"
    )
    assert missing_paths(text, tmp_path) == [
        "sandhatch/http1/parse.py",
        "tests/http1/",
        "testkit/servers.py",
        "docs/design",
        "deploy/x.yaml",
        "benchmarks/start.py",
    ]


def test_a_file_that_is_named_as_a_folder_is_reported(tmp_path: Path) -> None:
    (tmp_path / "docs").mkdir()
    (tmp_path / "docs" / "architecture.md").touch()
    assert missing_paths("`docs/architecture.md/` and `docs/architecture.md`", tmp_path) == [
        "docs/architecture.md/"
    ]


def test_a_pattern_must_match_something(tmp_path: Path) -> None:
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "balancer.toml").touch()
    assert missing_paths("`deploy/*.toml` and `deploy/*.yaml`", tmp_path) == ["deploy/*.yaml"]


@pytest.mark.parametrize(
    ("text", "paths"),
    [
        ("`python -m pytest tests/bodies -q`", ["tests/bodies"]),
        ("`tests/test_wire.py::test_frames`", ["tests/test_wire.py"]),
        ("`sandhatch/cli/table.py:12`", ["sandhatch/cli/table.py"]),
        ("see `docs/glossary.md`, then `docs/questions.md`.", ["docs/glossary.md", "docs/questions.md"]),
        ("`docs/a.md` over\ntwo lines `docs/b.md`", ["docs/a.md", "docs/b.md"]),
        ("docs/a.md without backticks", []),
        ("`http1/parser.py`, `/docs/a.md` and `given/docs/a.md` belong elsewhere", []),
        ("`deploy/<site>.toml`", []),
        ("```\ncat docs/a.md `docs/b.md`\n```\n`docs/c.md`", ["docs/c.md"]),
    ],
)
def test_paths_are_the_words_of_code_spans_that_begin_with_a_folder(text: str, paths: list[str]) -> None:
    assert paths_in(text) == paths
