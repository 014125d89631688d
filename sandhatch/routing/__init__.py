"""Which route a request takes, and which pool or answer that route leads to.

Pure functions and immutable tables: no I/O, no clock, no random draws of its own. The routes come from
`sandhatch.config`.
"""
