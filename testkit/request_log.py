"""A log of every request by trace id: what the client sent and received, and which servers ran the request.

The log only records and checks. Source: the rules of the platform's page PROTOCOL: one response for each
request, and no repeated execution of a request that is not idempotent.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from testkit.wire import Response

REJECTED_STATUSES = (429, 503)  # response statuses that state that no server ran the request


@dataclass(slots=True)
class Entry:
    """One request. Times are in seconds of the event loop's clock."""

    request_class: str
    sent_s: float
    responses: list[Response] = field(default_factory=list)
    responded_s: float = 0.0
    ran: list[str] = field(default_factory=list)  # servers that have received the complete request
    failure: str = ""  # reason why there was no response


class RequestLog:
    """A log that clients and servers write to, with a check of the rules for the end of a run."""

    def __init__(self) -> None:
        """Creates an empty log."""
        self.entries: dict[str, Entry] = {}

    def add(self, trace: str, request_class: str, now_s: float) -> Entry:
        """Logs a request that is sent now; its client completes the returned entry."""
        entry = Entry(request_class, now_s)
        self.entries[trace] = entry
        return entry

    def add_run(self, trace: str, server: str) -> None:
        """Logs that a server has received a complete request."""
        entry = self.entries.get(trace)
        if entry is not None:
            entry.ran.append(server)

    def statuses(self) -> Counter[int]:
        """Returns the number of requests by the status of their first response."""
        return Counter(entry.responses[0].status for entry in self.entries.values() if entry.responses)

    def faults(self, non_idempotent: frozenset[str]) -> list[str]:
        """Returns the violations of the rules, one line each.

        Violations are a request without a response or with several, a request of a class in `non_idempotent`
        that ran more than once, and a request of such a class that was rejected although it ran.
        """
        faults = []
        for trace, entry in self.entries.items():
            if len(entry.responses) != 1:
                faults.append(f"{trace}: {len(entry.responses)} responses {entry.failure}")
            if entry.request_class in non_idempotent:
                if len(entry.ran) > 1:
                    faults.append(f"{trace}: non-idempotent, ran at {entry.ran}")
                if entry.ran and entry.responses and entry.responses[0].status in REJECTED_STATUSES:
                    faults.append(f"{trace}: non-idempotent, rejected although it ran at {entry.ran}")
        return faults
