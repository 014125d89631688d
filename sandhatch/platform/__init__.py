"""The platform's program: assembly, request handling, graceful shutdown and reload by signal.

Requires none of the optional packages. Source: the platform's pages PROTOCOL and DEPLOY.
"""
