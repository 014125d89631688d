"""HTTP/1.1: messages, parsers and serializers, and the adapter between a connection and its body flows.

Parsers turn bytes into events and serializers turn messages into bytes; neither does I/O. Source: RFC 9110
and RFC 9112.
"""
