"""Contents of the state service: the names of its keys, and decoding of values into records."""
