"""The program under a configuration of its own: versions in force, their pools and listeners, and the change
from one to the next. What a change may do is decided in `config.transactions`; where a request goes, in
`routing`.
"""
