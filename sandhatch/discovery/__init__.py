"""Where endpoint lists come from: the platform's discovery service, or the configuration.

Nothing here decides when to call discovery: that is `sandhatch.balancing.endpoint_freshness`.
"""
