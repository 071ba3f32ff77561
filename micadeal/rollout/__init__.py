"""Feature levels: which versions may serve together, and how the level in force changes.

No I/O.
"""
