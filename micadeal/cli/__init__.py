"""The command line: one module per group of commands, and shared helpers."""
