"""Load-balancing decisions: choice of a server, retries, admission control."""
