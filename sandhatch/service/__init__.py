"""The program under a configuration of its own: active versions, their pools and listeners, and changes.

What a change may do is decided in `config.transactions`; where a request goes, in `routing`.
"""
