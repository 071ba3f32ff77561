"""Bin packing: which machine, or set of machines, a task or gang is placed on.  No I/O."""
