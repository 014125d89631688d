"""A tier in simulated time, from one seed: servers, forwarders, planners, discovery and their links.

The forwarders run the program's own balancers and planning machines. Nothing here reads a clock, so that a
run is the same each time. Source: the project's own; `tier.Tier` is where a test begins.
"""
