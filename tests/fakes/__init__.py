"""In-memory state service, cloud, workers and network that follow the protocol in stepped time."""
