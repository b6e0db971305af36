"""Benchmarks of single modules, not part of the product."""
