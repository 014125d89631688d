"""What one instance sees and does, as lines of its log, and the report over a whole fleet's lines.

It only observes: nothing here changes a decision or raises into the code that is observed.
Source: the project's own; the lines are described in `record_format`.
"""
