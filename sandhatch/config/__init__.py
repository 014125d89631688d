"""Configuration: the platform's (`platform`) and the project's own, with its versions.

The own configuration is read by `document`, described by `model`, checked by `check`; `transactions` decides
which change becomes a version, `version_lifecycle` which version is active; `history` stores them. The
platform's program imports `platform` only.
"""
