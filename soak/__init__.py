"""Randomized fault soak of real entry processes; run it with `-m soak`."""
