"""Serving system for language models whose replicas span several instances."""

__version__ = "0.1.0"
