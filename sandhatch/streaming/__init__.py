"""A body on its way: flow control, progress limits, and the socket writer."""
