"""A fake of the platform's discovery service: complete lists, watches, and faults.

Tests make all changes to the entries. Source: the platform's page PROTOCOL, which defines the JSON keys and
request targets.
"""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from testkit.listening import ListeningFake
from testkit.wire import ok, read_head


@dataclass(frozen=True, slots=True)
class PublishedChange:
    """A changed entry and the generation in which it changed."""

    generation: int
    entry: dict[str, Any]


class FakeDiscovery(ListeningFake):
    """A discovery service that responds to polls for the complete list and to watches.

    It can be stopped and started again on the same port. Tests set its faults.

    Attributes:
        generation: Generation of the endpoint list.
        entries: Current entries, by instance id.
        calls: Queue of the targets of all requests.
        raw_responses: Raw responses that replace regular responses, one per request.
        closes_after_raw_response: Whether the connection is closed after each raw response.
        delay_s: Delay of each complete list, in seconds.
        silent: Whether watches get no response.
    """

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        """Creates a service that lists these entries and does not listen yet."""
        super().__init__()
        self.generation = 1
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self.calls: asyncio.Queue[str] = asyncio.Queue()
        self.raw_responses: list[bytes] = []
        self.closes_after_raw_response = False
        self.delay_s = 0.0
        self.silent = False
        self._changes: list[PublishedChange] = []
        self._generation_changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    def stop(self) -> None:
        """Stops listening and aborts all connections; `start` listens on the same port again."""
        for writer in list(self._writers):
            writer.transport.abort()
        self.close()

    def change(self, *entries: dict[str, Any]) -> None:
        """Publishes changed entries as the next generation, and completes the pending watches."""
        self.generation += 1
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
            self._changes.append(PublishedChange(self.generation, entry))
        self.wake()

    def wake(self) -> None:
        """Makes the pending watches check whether the list's generation has changed."""
        self._generation_changed.set()
        self._generation_changed = asyncio.Event()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Responds to one request after another."""
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                target = head.start_line.split()[1]
                self.calls.put_nowait(target)
                if self.raw_responses:
                    writer.write(self.raw_responses.pop(0))
                    if self.closes_after_raw_response:
                        writer.close()
                        return
                    continue
                endpoint_list = await (self._delta(target) if "after=" in target else self._full_list())
                writer.write(ok(json.dumps(endpoint_list).encode()))
        finally:
            self._writers.discard(writer)

    async def _full_list(self) -> dict[str, Any]:
        await asyncio.sleep(self.delay_s)
        active_entries = [entry for entry in self.entries.values() if entry["lifecycle"] != "left"]
        return {"generation": self.generation, "reset": True, "instances": active_entries}

    async def _delta(self, target: str) -> dict[str, Any]:
        """Returns the changes after the watch's generation, once the list has changed or the wait expires."""
        if self.silent:
            await asyncio.Event().wait()
        after = int(target.partition("after=")[2].partition("&")[0])
        wait_ms = int(target.partition("wait_ms=")[2])
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000.0):
                while self.generation == after:
                    await self._generation_changed.wait()
        changed = [change.entry for change in self._changes if change.generation > after]
        return {"generation": self.generation, "reset": False, "instances": changed}
