"""Model checkers, random fault histories and profiling tools for maintainers.

Nothing here is installed or imported by ``micadeal``; tests import the models.
"""
