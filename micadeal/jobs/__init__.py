"""Jobs: their records, validation of submissions, and the desk that answers users."""
