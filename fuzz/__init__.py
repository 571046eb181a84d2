"""Stateful fuzzing: random histories with faults, judged by simple oracles."""
