"""sandhatch, an HTTP load balancer: network I/O around the decisions made in `sandhatch.balancing`."""
