"""Forwarders and planners: the link between them, the advice of a planner, and its use by a forwarder.

Planners receive load reports from all forwarders of a tier and advise each of them; a tier also works without
planners. All decisions are made by state machines that do no I/O and read no clock. Source:
docs/design/planning.md.
"""
