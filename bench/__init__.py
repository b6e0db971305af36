"""Measurements of the system's own parts."""
