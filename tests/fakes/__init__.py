"""State service, cloud, workers and network in memory, from the protocol, in stepped time."""
