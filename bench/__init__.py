<<<<<<< HEAD
"""Benchmarks of single parts; run them as modules."""
=======
"""Measurements of the system's own parts."""
>>>>>>> router
