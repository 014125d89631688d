"""Files and folders mentioned in the project's documentation exist."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.project.documentation import find_missing_paths, find_paths

ROOT = Path(__file__).parents[2]
PAGES = (
    "README.md",
    "CHANGELOG.md",
    *sorted(str(page.relative_to(ROOT)) for page in (ROOT / "docs").rglob("*.md")),
)


@pytest.mark.parametrize("page", [page for page in PAGES if (ROOT / page).exists()])
def test_page_mentions_only_existing_paths(page: str) -> None:
    missing = find_missing_paths((ROOT / page).read_text(encoding="utf-8"), ROOT)
    assert missing == [], f"{page} mentions missing paths: {', '.join(missing)}"


def test_missing_files_and_folders_are_reported(tmp_path: Path) -> None:
    (tmp_path / "sandhatch" / "http1").mkdir(parents=True)
    (tmp_path / "sandhatch" / "http1" / "parser.py").touch()
    text = (
        "The parser is `sandhatch/http1/parser.py` in `sandhatch/http1/`, not `sandhatch/http1/parse.py`.\n"
        "- `tests/http1/` and `testkit/servers.py`, `docs/design`, `deploy/x.yaml`, `benchmarks/start.py`\n"
    )
    assert find_missing_paths(text, tmp_path) == [
        "sandhatch/http1/parse.py",
        "tests/http1/",
        "testkit/servers.py",
        "docs/design",
        "deploy/x.yaml",
        "benchmarks/start.py",
    ]


def test_file_written_with_a_trailing_slash_is_reported(tmp_path: Path) -> None:
    (tmp_path / "docs").mkdir()
    (tmp_path / "docs" / "architecture.md").touch()
    assert find_missing_paths("`docs/architecture.md/` and `docs/architecture.md`", tmp_path) == [
        "docs/architecture.md/"
    ]


def test_pattern_without_a_match_is_reported(tmp_path: Path) -> None:
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "balancer.toml").touch()
    assert find_missing_paths("`deploy/*.toml` and `deploy/*.yaml`", tmp_path) == ["deploy/*.yaml"]


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
def test_paths_are_words_of_code_spans_that_begin_with_a_project_folder(text: str, paths: list[str]) -> None:
    assert find_paths(text) == paths
