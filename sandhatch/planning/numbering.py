"""Numberings of servers, assigned by forwarders' sessions.

Sessions that send the same server addresses in the same order share one table: with thousands of servers and
thousands of forwarders, a table for each forwarder would take up most of a planner's memory. No I/O, no
clock.
"""

from __future__ import annotations

from hashlib import blake2b
from heapq import nsmallest
from typing import NamedTuple
from weakref import WeakValueDictionary

from sandhatch.planning.messages import WeightRow
from sandhatch.planning.server_view import Assessment, ServerView

MAX_WEIGHT_ROWS = 256  # maximum `WeightRow`s of a pool in one advice, to bound the message size


class _ReducedServer(NamedTuple):
    """A server with a weight below 1; ordered by weight, then by number."""

    weight: float
    number: int
    assessment: Assessment


class ServerNumbering:
    """Servers in the order of their numbers, and the `WeightRow` messages of their advised weights.

    Attributes:
        views: Servers, indexed by number.
    """

    __slots__ = ("__weakref__", "_rows", "_rows_version", "views")

    def __init__(self, views: list[ServerView]) -> None:
        """Number the servers from 0."""
        self.views = views
        self._rows: list[WeightRow] = []
        self._rows_version = -1

    def weight_rows(self, version: int) -> list[WeightRow]:
        """`WeightRow`s of the servers with a weight below 1, cached by the version of the pool's weights.

        If there are more than `MAX_WEIGHT_ROWS`, only the servers with the lowest weights are included.
        """
        if version != self._rows_version:
            self._rows_version = version
            self._rows = [self._row(reduced) for reduced in self._reduced_servers()]
        return self._rows

    def _reduced_servers(self) -> list[_ReducedServer]:
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
    """Numberings in use in one pool, each shared by the sessions that sent the same addresses in order."""

    def __init__(self) -> None:
        """Start with the empty numbering, for sessions that have not sent any address."""
        self.empty = ServerNumbering([])
        self._by_key: WeakValueDictionary[bytes, ServerNumbering] = WeakValueDictionary()

    @staticmethod
    def extended_key(key: bytes, names: list[str]) -> bytes:
        """Key of the numbering that results from appending addresses to the numbering with `key`."""
        digest = blake2b(key, digest_size=16)
        digest.update("\n".join(names).encode())
        return digest.digest()

    def get(self, key: bytes) -> ServerNumbering | None:
        """Numbering with this key; None if no session uses it."""
        return self._by_key.get(key)

    def add(self, key: bytes, views: list[ServerView]) -> ServerNumbering:
        """Add a numbering of these servers, which is retained for as long as a session uses it."""
        numbering = ServerNumbering(views)
        self._by_key[key] = numbering
        return numbering

    def numbered_views(self) -> set[int]:
        """Object identities of the `ServerView`s in all numberings in use."""
        return {id(view) for numbering in self._by_key.values() for view in numbering.views}
