"""What guidance from planners may change in a balancer's decisions, and what it may never change.

Guidance biases which servers are drawn; it never replaces the draw, never adds a server to the endpoint list
and never overrides a rule on drains, retries or idempotency. It has three parts:

* weights of servers (`server_weights`): the median over all planners whose guidance has not expired;
* this instance's share of the slow start of a server that is warming up (`shared_ramp`), leased to it;
* this instance's share of the tier's capacity (`state`), leased to it as well.

Each part expires by itself, is checked against bounds before any of it counts (`bounds`), and takes effect
gradually (`gradual_value`). Nothing in this package does I/O or reads a clock: each caller passes the time.

Sources: arrival curves (Cruz 1991) for the shared ramp, leases (Gray and Cheriton 1989) for the shares.
"""
