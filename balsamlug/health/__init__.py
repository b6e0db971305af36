"""Instance probes and group readiness."""
