"""Benchmarks: each compares two things in one run and prints the ratio; absolute figures are notes.

They are scripts (`python -m benchmarks.NAME`), never imported by the program or its tests. Source: the
project's own.
"""
