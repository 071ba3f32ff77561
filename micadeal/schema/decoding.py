"""Values into records, once, where they come in.

What can't be read is logged and left where it is: nothing else suffers from it.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from micadeal.schema.keys import OLD_PLACED
from micadeal.wire.codec import MessageFormatError, convert
from micadeal.wire.state import Item, MachineRecord, PlacedRecord

log = logging.getLogger(__name__)

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class VersionedRecord(Generic[T]):
    key: str
    version: int
    #: None: it can't be read.
    record: T | None


def read(items: Iterable[Item], kind: type[T]) -> list[VersionedRecord[T]]:
    return [VersionedRecord(item.key, item.version, read_one(item, kind)) for item in items]


def read_one(item: Item, kind: type[T]) -> T | None:
    try:
        return convert(kind, item.value)
    except MessageFormatError as problem:
        log.error("unreadable record %s: %s", item.key, problem)
        return None


def read_placed(items: Iterable[Item]) -> list[VersionedRecord[PlacedRecord]]:
    """Records of placements in either layout."""
    found: list[VersionedRecord[PlacedRecord]] = []
    for item in items:
        if not item.key.startswith(OLD_PLACED):
            found.append(VersionedRecord(item.key, item.version, read_one(item, PlacedRecord)))
            continue
        old = read_one(item, MachineRecord)
        record = None if old is None else old.placed(item.key.removeprefix(OLD_PLACED))
        found.append(VersionedRecord(item.key, item.version, record))
    return found
