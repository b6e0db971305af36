"""The controller process: control plane of one node."""
