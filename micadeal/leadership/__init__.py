"""Leader election, the authority of a term, and lease renewal by followers."""
