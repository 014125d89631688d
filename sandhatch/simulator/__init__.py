"""The simulator's wire protocol (`WIRE-sandhatch.md`): its codec, and a host of many balancer instances.

The protocol's own names are used in this package only; other packages use events, actions and settings.
"""
