"""Tests of balsamlug.config."""
