"""Event recording: log lines of the events and actions of one instance, and a report over a fleet's lines.

The package only observes: nothing here changes a decision or raises into the observed code. `record_format`
describes the lines. Source: none; written for this project.
"""
