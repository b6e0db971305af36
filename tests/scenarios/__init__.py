"""Scripted scenarios and random fault schedules."""
