"""Event recording: log lines of the events and actions of one instance, and a report over a fleet's lines.

Observes only: nothing here changes a decision or raises into the observed code. Source: the project's own;
the lines are described in `record_format`.
"""
