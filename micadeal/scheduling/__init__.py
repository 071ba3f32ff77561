"""The leader's decisions: pure, told of time and events, asked what to do.  No input or output."""
