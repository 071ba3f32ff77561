"""What the leader writes to the key-value store."""
