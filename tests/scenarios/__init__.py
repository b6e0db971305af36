"""Scripted scenarios and random fault schedules on a manual clock."""
