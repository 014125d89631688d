"""Books on every request, by id: what a caller asked and was answered, and what servers ran."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from testkit.wire import Answer


@dataclass(slots=True)
class Entry:
    """One request's account."""

    request_class: str
    asked_s: float
    answers: list[Answer] = field(default_factory=list)
    answered_s: float = 0.0
    ran: list[str] = field(default_factory=list)  # servers that have read it whole
    lost: str = ""  # why no answer came


class Books:
    """What servers and callers write into, and what must hold at the end."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}

    def ask(self, trace: str, request_class: str, now_s: float) -> Entry:
        entry = self.entries[trace] = Entry(request_class, now_s)
        return entry

    def ran(self, trace: str, server: str) -> None:
        entry = self.entries.get(trace)
        if entry is not None:
            entry.ran.append(server)

    def statuses(self) -> Counter[int]:
        return Counter(entry.answers[0].status for entry in self.entries.values() if entry.answers)

    def faults(self, unsafe: frozenset[str]) -> list[str]:
        """What breaks the rules: no answer or several, an unsafe effect twice, one refused that ran."""
        found = []
        for trace, entry in self.entries.items():
            if len(entry.answers) != 1:
                found.append(f"{trace}: {len(entry.answers)} answers {entry.lost}")
            if entry.request_class in unsafe:
                if len(entry.ran) > 1:
                    found.append(f"{trace}: unsafe, ran at {entry.ran}")
                if entry.ran and entry.answers and entry.answers[0].status in (429, 503):
                    found.append(f"{trace}: unsafe, refused though it ran at {entry.ran}")
        return found
