"""Messages in their encoded form, as the traces of decisions show them."""

from __future__ import annotations

from typing import Any

from micadeal.wire.codec import decode, encode

Wire = dict[str, Any]


def wire(message: Any) -> Any:
    """Return the fields of a message as its receiver decodes them."""
    return decode(dict, encode(message))


def wire_list(message: Any) -> list[Any]:
    """Return the values of a message that is encoded as a list, as its receiver decodes them."""
    return decode(list, encode(message))


def canonical(transaction: Wire) -> Wire:
    """Sort the merged placement records of a transaction, whose entries come from unordered sets.

    A transaction that merges records also drops or empties the records that it merges.
    """
    changes = transaction["then"]
    records = [c["data"]["machines"] for c in changes if c.get("put", "").startswith("placed/")]
    if len(records) < len(changes) or not all(records):
        for machines in records:
            for entry in machines:
                entry[-1].sort()
            machines.sort()
    return transaction
