"""Stand-ins for what sandhatch talks to: servers, discovery, clients, each with faults by script. For tests,
benchmarks and the demo; the program itself never imports them.
"""
