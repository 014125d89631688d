"""Pooled connections to servers, and the attempts that are sent on them.

The choice of a server, retries and timeouts are decided by `sandhatch.balancing`, not here. Source:
PROTOCOL-sandhatch.md, "Balancers to upstreams".
"""
