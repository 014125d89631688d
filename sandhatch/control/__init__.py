"""The control socket: calls on a running service by operators and scripts on the same machine.

`config.transactions` decides which calls are permitted. Source: the operators' page of the control protocol.
"""
