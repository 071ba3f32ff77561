"""Fair sharing after the Hadoop Fair Scheduler design: shares, order, starvation, victims.

No I/O.  Section numbers in this package refer to that design document.
"""
