"""Leases of fabric domains, and planning and repair of their groups."""
