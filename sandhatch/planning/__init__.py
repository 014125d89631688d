"""Forwarders and planners: the link between them, what a planner advises, and what a forwarder applies.

Planners see the load that all forwarders of a tier report, and advise each of them; a tier works without any.
Everything that decides is a state machine without I/O and clock. Source: docs/design/planning.md.
"""
