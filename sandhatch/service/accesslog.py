"""One JSON line a request, written once it is over: version, route, pool, servers of its attempts, answer."""

from __future__ import annotations

import json

from sandhatch.service.service import Service
from sandhatch.service.versions import RequestRecord

FLUSH_MS = 250.0


class AccessLog:
    """Appends to a file. What can't be written is dropped and counted: the log must not stop requests."""

    def __init__(self, path: str, service: Service) -> None:
        self._file = open(path, "a", encoding="utf-8")  # noqa: SIM115 - open for as long as the process
        self._service = service
        self.dropped = 0
        service.record = self._note
        self._flush()

    def _note(self, record: RequestRecord) -> None:
        name = self._service.pools.book.name
        row = {
            "t": round(record.came_ms, 3),
            "ms": round(record.answered_ms - record.came_ms, 3),
            "version": record.version,
            "route": record.route,
            "pool": record.pool,
            "servers": [name(number) for number in record.servers],
            "class": record.request_class,
            "id": record.trace.decode("latin-1"),
            "status": record.status,
        }
        if record.cut:
            row["cut"] = record.cut
        try:
            self._file.write(json.dumps(row) + "\n")
        except (OSError, ValueError):
            self.dropped += 1

    def _flush(self) -> None:
        if self._file.closed:
            return
        try:
            self._file.flush()
        except OSError:
            self.dropped += 1
        if not self._service.stopping:
            self._service.clock.after(FLUSH_MS, self._flush)

    def close(self) -> None:
        try:
            self._file.close()
        except OSError:
            self.dropped += 1
