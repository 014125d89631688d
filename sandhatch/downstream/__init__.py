"""Client side of the balancer: listeners, client connections and requests.

Routing is not decided here: a connection hands each request to its listener's request handler.
"""
