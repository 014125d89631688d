"""Finds the paths of the project that a page names, and those of them that don't exist.

It looks at code spans alone (text in single backticks), not at fenced blocks. Source: the CommonMark syntax
of both, as far as the project's pages use it.
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


def paths_in(text: str) -> list[str]:
    """The paths in a page's code spans, in their order.

    A path is a word that begins with one of `FOLDERS` and a slash, without a test's name or a line number
    behind a colon. One with a placeholder, such as `deploy/<site>.toml`, names no file.
    """
    paths = []
    for span in CODE_SPAN.findall(FENCED_BLOCK.sub("", text)):
        for word in span.split():
            path = word.partition(":")[0].rstrip(TRAILING_PUNCTUATION)
            if PATH.fullmatch(path) and not PLACEHOLDER.search(path):
                paths.append(path)
    return paths


def missing_paths(text: str, root: Path) -> list[str]:
    """The paths that a page names and that are neither file nor folder under `root`.

    A path with an asterisk is a pattern, and exists if anything matches it; one that ends with a slash must
    be a folder.
    """
    return [path for path in paths_in(text) if not _exists(path, root)]


def _exists(path: str, root: Path) -> bool:
    if "*" in path:
        return any(root.glob(path))
    if path.endswith("/"):
        return (root / path).is_dir()
    return (root / path).exists()
