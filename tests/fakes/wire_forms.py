"""Messages in their outside form, as a trace of decisions shows them."""

from __future__ import annotations

from typing import Any

from micadeal.wire.codec import decode, encode

Wire = dict[str, Any]


def wire(message: Any) -> Any:
    """Return a message as others read it."""
    return decode(dict, encode(message))


def wire_list(message: Any) -> list[Any]:
    """Return a message that is encoded as a list, as others read it."""
    return decode(list, encode(message))


def canonical(transaction: Wire) -> Wire:
    """Sort what is merged into one record of placements: it comes from sets without an order.

    Such a transaction also ends the records that are merged, by a drop or by emptying them.
    """
    changes = transaction["then"]
    records = [c["data"]["machines"] for c in changes if c.get("put", "").startswith("placed/")]
    if len(records) < len(changes) or not all(records):
        for machines in records:
            for entry in machines:
                entry[-1].sort()
            machines.sort()
    return transaction
