"""The service that runs a versioned configuration: its versions, their pools and listeners, and changes.

`config.transactions` decides which changes are permitted; `routing` decides where a request goes.
"""
