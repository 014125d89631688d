"""A tier in simulated time, from one seed: servers, forwarders, planners, discovery and their links.

The forwarders run the program's own balancers and planning machines. Nothing here reads a clock, so runs with
the same seed are identical. Source: none; written for this project. `tier.Tier` is the entry point for tests.
"""
