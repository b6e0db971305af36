"""Tests of real processes on loopback."""
