"""Services that every protocol and pool shares: time, logging, memory, descriptors, addresses.

Makes no balancing decisions and depends on no protocol, pool or configuration.
"""
