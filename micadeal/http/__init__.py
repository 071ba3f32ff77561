"""HTTP/1.1 on curio and h11: one small server, one pooled client."""
