"""The leader's decisions, without I/O: cluster state, scheduling cycles, scale out and scale in."""
