"""Clients: the listener, their connections and their requests."""
