"""Routes and pools: a request's way to one pool. It does no I/O, and draws only what a seed gives."""
