"""Upper bounds of value sizes as the state service counts them, in JSON."""

from __future__ import annotations

#: Bytes of a value reserved for the structure around its entries.
VALUE_OVERHEAD = 64


def max_json_size(text: str) -> int:
    """Return the maximum size in bytes of a string and its separator in JSON."""
    return len(text) + 4 if text.isascii() else len(text) * 12 + 4
