"""A tier in simulated time, from one seed: servers, forwarders, planners, discovery and their links.

The forwarders run the program's own balancers and planning machines. Nothing here reads a clock, so
runs with the same seed are identical. Source: the project's own; `tier.Tier` is the entry point for tests.
"""
