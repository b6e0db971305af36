"""Tests of the node table, the links and the broadcast between nodes."""
