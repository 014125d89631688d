"""Fakes of sandhatch's peers with scripted faults: servers, discovery, clients, planners.

For tests, benchmarks and the demo only. The program never imports this package (an import contract enforces
that), and the fakes share no HTTP framing code with it. Source: none; written for this project.
"""
