"""Servers: connections to them and the attempts on these."""
