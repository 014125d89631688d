"""The control socket: calls on a running service, from people and scripts on the same machine."""
