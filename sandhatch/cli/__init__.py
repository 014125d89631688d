"""The command line, with one module per group of verbs.

Each module adds its verbs to the parser, each with the function that runs it. The verbs check files, start
programs, or call a running program at its control socket. Source:
docs/operators/configuration.md and docs/operators/planning.md.
"""
