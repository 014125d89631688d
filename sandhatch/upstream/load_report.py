"""Parses load reports, which servers send in a response header or in the body of a probe response.

A report is text such as `TEXT inflight=7, queue=2, util=0.61`. A report that is incomplete or malformed
counts as absent: no function here raises. Source: PROTOCOL-sandhatch.md, "Balancers to upstreams".
"""

from __future__ import annotations

from collections.abc import Sequence

from sandhatch.http1.errors import FramingError
from sandhatch.http1.message import Message

LOAD_HEADER = b"endpoint-load-metrics"
VALUE_LIMIT = 1e9  # a report with a value of this size or more is implausible and ignored


def parse_load_report(text: bytes, names: Sequence[str]) -> tuple[float, ...]:
    """Parse the text of a load report.

    Args:
        text: The report as sent by the server.
        names: Names of the values to return.

    Returns:
        The values in the order of `names`, or an empty tuple if the text is not a report, lacks one of the
        names, or has a value below 0 or not below `VALUE_LIMIT`.
    """
    kind, _, fields = text.strip().partition(b" ")
    if kind.upper() != b"TEXT":
        return ()
    value_by_name: dict[str, float] = {}
    for field in fields.split(b","):
        name, _, value = field.strip().partition(b"=")
        try:
            value_by_name[name.decode("ascii")] = float(value)
        except ValueError:
            return ()
    values = tuple(value_by_name.get(name, -1.0) for name in names)
    return values if all(0.0 <= value < VALUE_LIMIT for value in values) else ()


def extract_load_report(response: Message | None, names: Sequence[str], from_body: bool) -> tuple[float, ...]:
    """Extract the load report from a response.

    Args:
        response: The response, None if none was received.
        names: Names of the values to return.
        from_body: Whether the report is the body, as in the response to a probe, rather than a header.

    Returns:
        The values in the order of `names`, or an empty tuple if there is no valid report.
    """
    if response is None or not names:
        return ()
    try:
        text = response.body if from_body else response.value(LOAD_HEADER)
    except FramingError:  # the header with the report occurs more than once
        return ()
    return parse_load_report(text, names) if text else ()
