"""Node table, failure detection and state broadcast between nodes."""
