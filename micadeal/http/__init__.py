"""HTTP/1.1 on curio and h11: a small server, and a client with persistent connections."""
