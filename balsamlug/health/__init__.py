"""Probes of engine instances and readiness of groups."""
