"""Fakes of what sandhatch talks to, with faults by script: servers, discovery, clients, planners.

They are for tests, benchmarks and the demo; the program never imports them (an import contract), and they
share no framing of HTTP with it. Source: the project's own.
"""
