"""The health of each zone: healthy, suspected, partitioned, failed or recovering.

Pure: no input or output.
"""
