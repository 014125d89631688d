"""A log of every request by its trace id: what a client sent and received, and which servers ran it.

It changes nothing that it logs. Source: the rules of the platform's page PROTOCOL: one response for each
request, and no effect twice that is not idempotent.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from testkit.wire import Response

REJECTED_STATUSES = (429, 503)  # of a request that did not run


@dataclass(slots=True)
class Entry:
    """One request. Times are those of the event loop's clock."""

    request_class: str
    sent_s: float
    responses: list[Response] = field(default_factory=list)
    responded_s: float = 0.0
    ran: list[str] = field(default_factory=list)  # servers that have read it to its end
    lost: str = ""  # why no response came


class RequestLog:
    """The log that clients and servers write into, with a check of what must hold at the end."""

    def __init__(self) -> None:
        """Creates an empty log."""
        self.entries: dict[str, Entry] = {}

    def add(self, trace: str, request_class: str, now_s: float) -> Entry:
        """Logs a request that is sent now; its client fills in the rest."""
        entry = Entry(request_class, now_s)
        self.entries[trace] = entry
        return entry

    def add_run(self, trace: str, server: str) -> None:
        """Logs that a server has read a request to its end."""
        entry = self.entries.get(trace)
        if entry is not None:
            entry.ran.append(server)

    def statuses(self) -> Counter[int]:
        """How many requests had each status as their first response."""
        return Counter(entry.responses[0].status for entry in self.entries.values() if entry.responses)

    def faults(self, non_idempotent: frozenset[str]) -> list[str]:
        """What breaks the rules, a line each.

        That is a request with no response or with several, one of a class in `non_idempotent` that ran twice,
        and one of these that was rejected though it ran.
        """
        faults = []
        for trace, entry in self.entries.items():
            if len(entry.responses) != 1:
                faults.append(f"{trace}: {len(entry.responses)} answers {entry.lost}")
            if entry.request_class in non_idempotent:
                if len(entry.ran) > 1:
                    faults.append(f"{trace}: unsafe, ran at {entry.ran}")
                if entry.ran and entry.responses and entry.responses[0].status in REJECTED_STATUSES:
                    faults.append(f"{trace}: unsafe, refused though it ran at {entry.ran}")
        return faults
