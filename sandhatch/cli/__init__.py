"""The command line, one module a group of verbs.

Each module adds its verbs to the parser and names the function that runs each of them. Nothing here decides;
the verbs check files, start programs, or call a running one at its control socket. Source:
docs/operators/configuration.md and docs/operators/planning.md.
"""
