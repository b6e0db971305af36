"""Declared options and the agreed configuration."""
