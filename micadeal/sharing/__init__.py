"""The fair scheduler of the design source: shares, handout order, starvation, victims.  Pure."""
