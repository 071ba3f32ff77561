"""When flexible work had better run: price and carbon series, what to hold, until when.  Pure."""
