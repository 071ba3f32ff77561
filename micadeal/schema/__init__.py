"""What the state service holds of ours: names of keys, and reading values into records."""
