"""Tests of balsamlug.commands."""
