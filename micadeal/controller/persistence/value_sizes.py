"""Sizes of values as the state service counts them, in JSON, estimated from above."""

from __future__ import annotations

#: Bytes of a value that are left for what encloses its entries.
VALUE_OVERHEAD = 64


def max_json_size(text: str) -> int:
    """Return how many bytes a string and its separator take in JSON at most."""
    return len(text) + 4 if text.isascii() else len(text) * 12 + 4
