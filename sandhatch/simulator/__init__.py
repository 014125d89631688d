"""The simulator's wire: its codec and the host of many instances on it."""
