"""A fake of the platform's discovery: full lists and watches, and its failures.

It decides nothing about servers: tests enter the changes. Source: the platform's page PROTOCOL, whose JSON
keys and targets these are.
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
    """An entry that changed, and the generation that has it."""

    generation: int
    entry: dict[str, Any]


class FakeDiscovery(ListeningFake):
    """Answers requests for the full list and watches; it can go down and come back on its port.

    `calls` has the target of each request. Tests set the faults: `garbage` are raw responses given in place
    of true ones, one a request; `delay_s` is the time that a full list takes; while `silent`, a watch is
    never answered.
    """

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        """Creates a discovery that lists these entries and does not listen yet."""
        super().__init__()
        self.generation = 1
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self.calls: asyncio.Queue[str] = asyncio.Queue()
        self.garbage: list[bytes] = []
        self.delay_s = 0.0
        self.silent = False
        self._changes: list[PublishedChange] = []
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    def stop(self) -> None:
        """Goes down and ends all connections; `start` brings it back on the same port."""
        for writer in list(self._writers):
            writer.transport.abort()
        self.close()

    def change(self, *entries: dict[str, Any]) -> None:
        """Enters changed entries as the next generation, and answers the watches."""
        self.generation += 1
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
            self._changes.append(PublishedChange(self.generation, entry))
        self.wake()

    def wake(self) -> None:
        """Lets the pending watches look at the generation again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers one request after another."""
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                target = head.start_line.split()[1]
                self.calls.put_nowait(target)
                if self.garbage:
                    writer.write(self.garbage.pop(0))
                    continue
                listing = await (self._delta(target) if "after=" in target else self._full_list())
                writer.write(ok(json.dumps(listing).encode()))
        finally:
            self._writers.discard(writer)

    async def _full_list(self) -> dict[str, Any]:
        await asyncio.sleep(self.delay_s)
        present = [entry for entry in self.entries.values() if entry["lifecycle"] != "left"]
        return {"generation": self.generation, "reset": True, "instances": present}

    async def _delta(self, target: str) -> dict[str, Any]:
        """What changed after the watch's generation, once anything has or its wait is over."""
        if self.silent:
            await asyncio.Event().wait()
        after = int(target.partition("after=")[2].partition("&")[0])
        wait_ms = int(target.partition("wait_ms=")[2])
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000.0):
                while self.generation == after:
                    await self._changed.wait()
        changed = [change.entry for change in self._changes if change.generation > after]
        return {"generation": self.generation, "reset": False, "instances": changed}
