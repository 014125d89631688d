"""What every protocol and every pool shares: time, logging, memory, descriptors, addresses.

It decides nothing, and knows no protocol, pool or configuration.
"""
