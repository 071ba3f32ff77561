"""Settings of the platform and of operators, and what operators ask."""
