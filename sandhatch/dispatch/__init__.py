"""Carries out a balancer's decisions for the requests of one pool.

Events are delivered to the balancer, and the actions that it returns are carried out. All decisions are made
in `sandhatch.balancing`.
"""
