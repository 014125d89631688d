"""sandhatch: the real balancer, one program on real sockets round the decisions of `sandhatch.balancing`."""
