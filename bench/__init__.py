"""Benchmarks; they print figures and assert none."""
