"""Tests of connections through other nodes."""
