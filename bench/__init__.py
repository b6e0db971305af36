"""Benchmarks of single components, each run with `python -m bench.NAME`."""
