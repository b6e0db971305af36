"""Randomized fault soak of real entry processes, run by `python -m soak`."""
