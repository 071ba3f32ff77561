"""What is known of each zone: reachable, in doubt, cut off, lost, coming back.  Pure."""
