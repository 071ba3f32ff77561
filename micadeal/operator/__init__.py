"""Settings of the platform and of operators."""
