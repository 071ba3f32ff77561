"""Fair sharing after the Hadoop Fair Scheduler design: shares, order, starvation, victims.

Nothing here does I/O.  Section numbers in this package are those of that design document.
"""
