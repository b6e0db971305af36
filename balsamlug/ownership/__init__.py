"""Domain leases, group planning and repair."""
