"""Data plane: forwards opaque caller requests along the catalogue's routes."""
