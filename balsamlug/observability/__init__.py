"""Logs and metrics of the processes."""
