"""Settings: the platform's file, options of a deployment, operators' scripts."""
