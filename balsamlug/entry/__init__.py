"""Entry process of a node: gateway and controller in one process."""
