"""Load reports: how busy a server says that it is, in an answer's header or in a probe's body.

A report is text such as `TEXT inflight=7, queue=2, util=0.61`. A report that is incomplete or malformed
counts as absent: nothing here raises. Source: PROTOCOL-sandhatch.md, "Balancers to upstreams".
"""

from __future__ import annotations

from collections.abc import Sequence

from sandhatch.http1.errors import FramingError
from sandhatch.http1.message import Message

LOAD_HEADER = b"endpoint-load-metrics"
VALUE_LIMIT = 1e9  # values from here on are not plausible


def parse_report(text: bytes, names: Sequence[str]) -> tuple[float, ...]:
    """Parse the text of a load report.

    Args:
        text: the report as the server sent it.
        names: the names of the wanted values.

    Returns:
        The values in the order of `names`, or an empty tuple if the text is no report, lacks one of them, or
        has a value outside 0 to `VALUE_LIMIT`.
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


def report_of(response: Message | None, names: Sequence[str], from_body: bool) -> tuple[float, ...]:
    """Read the load report that an answer carries.

    Args:
        response: the answer, None if there was none.
        names: the names of the wanted values.
        from_body: whether the report is the answer's body, as a probe's is, rather than a header.

    Returns:
        The values in the order of `names`, or an empty tuple if there is no valid report.
    """
    if response is None or not names:
        return ()
    try:
        text = response.body if from_body else response.value(LOAD_HEADER)
    except FramingError:  # the header is repeated
        return ()
    return parse_report(text, names) if text else ()
