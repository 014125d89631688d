"""A body on its way: flow control, progress limits, memory, and the socket writer.

Nothing here knows HTTP, or which side is the client; only the socket writer does I/O.
"""
