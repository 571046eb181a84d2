"""Benchmarks: each prints tables, then one line for each figure."""
