"""Where tasks fit: rooms on machines, zones, gangs, images.  Pure."""
