"""What we keep in the state service: the names of the keys, and decoding values into records."""
