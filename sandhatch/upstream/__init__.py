"""Servers: pooled connections to them, and the attempts carried out on these.

The package decides nothing (which server, whether to retry, when to give up: `sandhatch.balancing`). Source:
PROTOCOL-sandhatch.md, "Balancers to upstreams".
"""
