"""Benchmarks, each of which compares two variants in one run and prints the ratio.

Absolute figures are printed for information only: they depend on the machine. The benchmarks are scripts
(`python -m benchmarks.NAME`); the program never imports them, and tests import their helpers alone.
"""
