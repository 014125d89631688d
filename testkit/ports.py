"""Ports that are free, for processes that are given theirs at the start.

It keeps no port reserved: another process could take it in between. Source: bind(2) with port 0.
"""

from __future__ import annotations

import socket


def free_port() -> int:
    """A TCP port of the loopback that nobody listens at."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
