"""Controller process: the control plane of one node."""
