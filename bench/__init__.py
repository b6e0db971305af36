"""Benchmarks of single parts; run them as modules."""
