"""The command line: one module for each group of commands, and what they share."""
