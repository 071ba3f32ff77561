"""The leader's decisions, which do no I/O: cluster state, scheduling cycles, scale out and in."""
