"""Routing: selection of a request's route and of the pool or fixed response that the route leads to.

The package consists of pure functions and immutable tables, without I/O, clock or random draws. The routes
come from `sandhatch.config`.
"""
