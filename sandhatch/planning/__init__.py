"""Forwarders and planners: the link between them, what a planner decides, what a forwarder makes of it."""
