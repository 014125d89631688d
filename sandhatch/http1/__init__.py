"""HTTP/1.1: messages, parsers and serializers."""
