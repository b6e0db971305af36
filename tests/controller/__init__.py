"""Tests of the controller process."""
