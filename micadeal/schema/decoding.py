"""Decodes values of the state service into records, once, when they are received.

A value that can't be decoded is logged and left in the store; the controller continues without it.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from micadeal.schema.keys import MACHINE_PLACEMENTS
from micadeal.wire.codec import MessageFormatError, convert
from micadeal.wire.state import Item, MachineRecord, PlacedRecord

log = logging.getLogger(__name__)

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class VersionedRecord(Generic[T]):
    """A record with its key and the version at which it was read."""

    key: str
    version: int
    #: None: the value can't be decoded.
    record: T | None


def decode_items(items: Iterable[Item], kind: type[T]) -> list[VersionedRecord[T]]:
    """Decode items whose values are all records of type ``kind``."""
    return [VersionedRecord(item.key, item.version, decode_item(item, kind)) for item in items]


def decode_item(item: Item, kind: type[T]) -> T | None:
    """Decode one item; None if its value is not a record of type ``kind``."""
    try:
        return convert(kind, item.value)
    except MessageFormatError as error:
        reason = str(error)
    log.error("unreadable record: key=%s reason=%s", item.key, reason)
    return None


def decode_placements(items: Iterable[Item]) -> list[VersionedRecord[PlacedRecord]]:
    """Decode placement records; the key shows which of the two layouts a record has."""
    records: list[VersionedRecord[PlacedRecord]] = []
    for item in items:
        if item.key.startswith(MACHINE_PLACEMENTS):
            record = _decode_machine_record(item)
        else:
            record = decode_item(item, PlacedRecord)
        records.append(VersionedRecord(item.key, item.version, record))
    return records


def _decode_machine_record(item: Item) -> PlacedRecord | None:
    record = decode_item(item, MachineRecord)
    return None if record is None else record.as_placed(item.key.removeprefix(MACHINE_PLACEMENTS))
