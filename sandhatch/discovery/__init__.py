"""Sources of endpoint lists: the platform's discovery service, or the configuration.

The time of each call to discovery is decided by `sandhatch.balancing.endpoint_freshness`, not here.
"""
