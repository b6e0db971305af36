"""Cases of an independent review. They are no part of the test run."""
