"""Tests of logs and metrics."""
