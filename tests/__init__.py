"""Tests of balsamlug."""
