"""The health of each zone: healthy, suspected, partitioned, failed or recovering.

No I/O.
"""
