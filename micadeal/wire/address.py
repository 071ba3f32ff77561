"""Addresses of processes, as the platform writes them."""

from __future__ import annotations

from typing import TypeAlias

#: Host and port, as the socket functions take them.
SocketAddress: TypeAlias = tuple[str, int]

MAX_PORT = 65535


def parse_address(text: str) -> SocketAddress:
    """Split ``host:port``; ``ValueError`` if it is anything else."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)
