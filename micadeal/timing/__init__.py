"""When to start deferrable work: price and carbon series, start times by cost.  Pure."""
