"""The simulator's wire protocol (`WIRE-sandhatch.md`): its codec, and the host of many instances on it.

Names of the protocol stay within this package; everything else sees events, actions and settings.
"""
