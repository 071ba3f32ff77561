"""In-memory state service, cloud, workers and network, written from the protocol, in stepped time."""
