"""The access log: one JSON line per finished request. A failed write never affects a request.

The operators' page of the access log describes the keys of a line; this module maps `RequestRecord` to them.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from sandhatch.service.request_record import RequestRecord
from sandhatch.service.service import Service

FLUSH_INTERVAL_MS = 250.0


class AccessLog:
    """Appends lines to a file. Lines that can't be written are dropped and counted in `dropped`."""

    def __init__(self, path: str, service: Service) -> None:
        """Open the file for appending and register as the receiver of the service's finished requests.

        Raises:
            OSError: The file can't be opened.
        """
        self._file = Path(path).open("a", encoding="utf-8")  # noqa: SIM115 - the file stays open until `close`
        self._service = service
        self.dropped = 0
        service.on_request_finished = self._write
        self._flush()

    def _row(self, record: RequestRecord) -> dict[str, Any]:
        """Return the line's keys and values; the keys are part of the log's format."""
        server_name = self._service.pools.server_registry.name
        row = {
            "t": round(record.received_at_ms, 3),
            "ms": round(record.responded_at_ms - record.received_at_ms, 3),
            "version": record.version,
            "route": record.route,
            "pool": record.pool,
            "servers": [server_name(number) for number in record.servers],
            "class": record.request_class,
            "id": record.trace_id.decode("latin-1"),
            "status": record.status,
        }
        if record.truncated_by:
            row["cut"] = record.truncated_by
        return row

    def _write(self, record: RequestRecord) -> None:
        row = self._row(record)
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
            self._service.clock.call_after(FLUSH_INTERVAL_MS, self._flush)

    def close(self) -> None:
        """Flush buffered lines and close the file."""
        try:
            self._file.close()
        except OSError:
            self.dropped += 1
