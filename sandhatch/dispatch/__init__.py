"""Carries out what a balancer decides for one pool's requests.

Events go to the balancer, its actions come back and are carried out. Nothing is decided here.
"""
