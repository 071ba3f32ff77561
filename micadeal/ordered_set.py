"""A set that is iterated in insertion order.

The order of a built-in set of strings differs between processes (``PYTHONHASHSEED``).  Where the
order decides what is sent first, insertion order makes a run repeatable, and the member that has
waited longest comes first.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, MutableSet
from typing import TypeVar

T = TypeVar("T")


class OrderedSet(MutableSet[T]):
    """A set in insertion order; a member that is added again keeps its place."""

    __slots__ = ("_members",)

    def __init__(self, members: Iterable[T] = ()) -> None:
        self._members: dict[T, None] = dict.fromkeys(members)

    def __contains__(self, member: object) -> bool:
        return member in self._members

    def __iter__(self) -> Iterator[T]:
        return iter(self._members)

    def __len__(self) -> int:
        return len(self._members)

    def __repr__(self) -> str:
        return f"{type(self).__name__}({list(self._members)!r})"

    def add(self, value: T) -> None:
        """Add a member at the end, unless it is already present."""
        self._members[value] = None

    def discard(self, value: T) -> None:
        """Remove a member if it is present."""
        self._members.pop(value, None)
