"""Servers by the numbers that a forwarder's session gave them.

Sessions that named the same servers in the same order share one table: with thousands of servers and of
forwarders, a table for each forwarder would be most of a planner's memory. No I/O, no clock.
"""

from __future__ import annotations

from hashlib import blake2b
from heapq import nsmallest
from typing import NamedTuple
from weakref import WeakValueDictionary

from sandhatch.planning.messages import WeightRow
from sandhatch.planning.server_view import Assessment, ServerView

MAX_WEIGHT_ROWS = 256  # of a pool in one advice, which is so bounded however large the tier


class _ReducedServer(NamedTuple):
    """A server of weight below 1; ordered by its weight, then by its number."""

    weight: float
    number: int
    assessment: Assessment


class ServerNumbering:
    """Servers in the order of their numbers, and the weights advised for them.

    Attributes:
        views: The servers, by number.
    """

    __slots__ = ("__weakref__", "_rows", "_rows_version", "views")

    def __init__(self, views: list[ServerView]) -> None:
        """Number these servers from 0."""
        self.views = views
        self._rows: list[WeightRow] = []
        self._rows_version = -1

    def weights(self, version: int) -> list[WeightRow]:
        """Rows of the servers of weight below 1, cached for this version of the pool's weights.

        Beyond `MAX_WEIGHT_ROWS` only the servers of the lowest weights are included.
        """
        if version != self._rows_version:
            self._rows_version = version
            self._rows = [self._row(reduced) for reduced in self._reduced()]
        return self._rows

    def _reduced(self) -> list[_ReducedServer]:
        reduced = [
            _ReducedServer(view.assessment.weight, number, view.assessment)
            for number, view in enumerate(self.views)
            if view.listed_in and view.assessment.weight < 1.0
        ]
        if len(reduced) > MAX_WEIGHT_ROWS:
            reduced = nsmallest(MAX_WEIGHT_ROWS, reduced, key=lambda server: (server.weight, server.number))
        return reduced

    @staticmethod
    def _row(reduced: _ReducedServer) -> WeightRow:
        assessment = reduced.assessment
        return WeightRow(
            reduced.number,
            assessment.weight,
            assessment.reason,
            round(assessment.ratio, 3),
            assessment.reports,
        )


class NumberingTable:
    """The numberings in use in one pool, each shared by the sessions that named the same servers."""

    def __init__(self) -> None:
        """Start with the empty numbering, that of a session that has named no server."""
        self.empty = ServerNumbering([])
        self._by_key: WeakValueDictionary[bytes, ServerNumbering] = WeakValueDictionary()

    @staticmethod
    def key_after(key: bytes, names: list[str]) -> bytes:
        """Key of the numbering that follows from one with `key` when these addresses are appended."""
        digest = blake2b(key, digest_size=16)
        digest.update("\n".join(names).encode())
        return digest.digest()

    def get(self, key: bytes) -> ServerNumbering | None:
        """The numbering of this key, if a session uses it."""
        return self._by_key.get(key)

    def add(self, key: bytes, views: list[ServerView]) -> ServerNumbering:
        """Keep a numbering of these servers, for as long as a session uses it."""
        numbering = ServerNumbering(views)
        self._by_key[key] = numbering
        return numbering

    def numbered_views(self) -> set[int]:
        """Identities of the views that any numbering in use contains."""
        return {id(view) for numbering in self._by_key.values() for view in numbering.views}
