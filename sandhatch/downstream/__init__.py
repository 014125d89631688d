"""Clients: the listener, their connections and their requests.

Nothing here decides where a request goes: a connection hands it to the listener's request handler.
"""
