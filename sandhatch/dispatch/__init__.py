"""Carries out what a balancer decides for one pool's requests."""
