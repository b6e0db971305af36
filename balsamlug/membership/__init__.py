"""Node table and dissemination between nodes."""
