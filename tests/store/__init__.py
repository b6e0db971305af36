"""Tests of balsamlug.store."""
