"""Benchmarks: each prints tables and a line ``figure NAME VALUE UNIT`` per figure."""
