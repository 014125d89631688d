"""The README's library example runs as printed."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_quick_start_example_runs() -> None:
    text = (ROOT / "README.md").read_text()
    (snippet,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(snippet, "README.md", "exec"), {})
