"""The control socket: calls on a running service, from people and scripts on the same machine.

It never decides what a call may do. Source: the operators' page of the control protocol.
"""
