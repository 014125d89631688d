"""Configuration: the platform's (`platform`) and sandhatch's own, which is versioned.

Sandhatch's own configuration is parsed by `document`, described by `model` and checked by `check`;
`transactions` decides which change becomes a version, `version_lifecycle` which version is active, and
`history` stores the versions. The platform's program imports `platform` only.
"""
