"""HTTP/1.1: messages, parsers and serializers, and where a connection meets the flows of bodies.

Parsers and serializers do no I/O: bytes in, events out, and back. Source: RFC 9110 and RFC 9112.
"""
