"""Guidance from planners: its effect on a balancer's decisions, and the limits of that effect.

Guidance biases which servers are drawn. It never replaces the draw, never adds a server to the endpoint list
and never overrides a rule on draining, retries or idempotency. It has three parts:

* weights of servers (`server_weights`): the median over all planners whose guidance has not expired;
* this instance's leased share of the slow start of a server that is warming up (`shared_ramp`);
* this instance's leased share of the tier's capacity (`state`).

Each part expires by itself, is checked against bounds before any of it takes effect (`bounds`), and takes
effect gradually (`gradual_value`). The package does no I/O and reads no clock: callers pass the time.

Sources: arrival curves (Cruz 1991) for the shared ramp, leases (Gray and Cheriton 1989) for the shares.
"""
