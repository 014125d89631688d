"""Finds project paths mentioned in a documentation page, and mentioned paths that don't exist.

Only code spans (text in single backticks) are searched, not fenced blocks. Both follow the CommonMark syntax
as far as the project's pages use it.
"""

from __future__ import annotations

import re
from pathlib import Path

FOLDERS = ("sandhatch", "testkit", "tests", "docs", "deploy", "benchmarks")
FENCED_BLOCK = re.compile(r"^ *```.*?^ *```", re.DOTALL | re.MULTILINE)
CODE_SPAN = re.compile(r"`([^`]+)`")
PATH = re.compile(rf"(?:{'|'.join(FOLDERS)})/\S*")
PLACEHOLDER = re.compile(r"[<>{}$]")
TRAILING_PUNCTUATION = ".,;:)\"'"


def find_paths(text: str) -> list[str]:
    """Returns the paths in a page's code spans, in order of appearance.

    A path is a word that begins with one of `FOLDERS` and a slash; a test's name or a line number after a
    colon is stripped. A path with a placeholder, such as `deploy/<site>.toml`, is ignored.
    """
    paths = []
    for span in CODE_SPAN.findall(FENCED_BLOCK.sub("", text)):
        for word in span.split():
            path = word.partition(":")[0].rstrip(TRAILING_PUNCTUATION)
            if PATH.fullmatch(path) and not PLACEHOLDER.search(path):
                paths.append(path)
    return paths


def find_missing_paths(text: str, root: Path) -> list[str]:
    """Returns the paths in a page that are neither a file nor a folder under `root`.

    A path with an asterisk is a glob pattern, and exists if anything matches it; a path that ends with a
    slash must be a folder.
    """
    return [path for path in find_paths(text) if not _exists(path, root)]


def _exists(path: str, root: Path) -> bool:
    if "*" in path:
        return any(root.glob(path))
    if path.endswith("/"):
        return (root / path).is_dir()
    return (root / path).exists()
