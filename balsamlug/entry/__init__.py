"""One process for each node: gateway and control together."""
