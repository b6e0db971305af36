"""Client for the platform's object API."""
