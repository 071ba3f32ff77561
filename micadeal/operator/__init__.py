"""Settings: the platform's settings file, optional features, operators' scripts."""
