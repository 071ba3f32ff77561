"""HTTP/1.1 on curio and h11: one small server and one client that keeps connections open."""
