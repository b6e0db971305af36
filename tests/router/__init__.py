"""Tests of balsamlug.router."""
