"""Streaming of bodies: flow control, progress limits, memory accounting, and the socket writer.

Independent of HTTP and of which side is the client. Only the socket writer does I/O.
"""
