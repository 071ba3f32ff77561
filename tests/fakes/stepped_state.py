"""A state service for simulations that run in steps: keys, conditions and transactions."""

from __future__ import annotations

from collections.abc import Iterable

from micadeal.wire.codec import convert
from micadeal.wire.state import Event, Item
from tests.fakes.wire_forms import Wire


class SteppedState:
    """Stores items by key; each change increments the revision."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1000
        #: Faults by the number of the transaction.  "unanswered": it is applied, and the answer is
        #: lost.  "never": it is not applied.  Any other transaction is applied and answered.
        self.outcomes: dict[int, str] = {}

    def submit_job(self, job_id: str, value: Wire) -> Event:
        """Store a job; return the event that the leader watches."""
        key = f"job/{job_id}"
        self.revision += 1
        self.items[key] = Item(key, value, self.revision)
        return convert(Event, {"put": key, "data": value, "version": 0, "stamp": self.revision})

    def cancel_job(self, job_id: str, end: Wire) -> Event | None:
        """Replace a job by its end record; return the event, None if the job had ended."""
        if self.items.pop(f"job/{job_id}", None) is None:
            return None
        self.revision += 1
        self.items[f"end/{job_id}"] = Item(f"end/{job_id}", end, self.revision)
        return convert(Event, {"drop": f"job/{job_id}", "stamp": self.revision})

    def commit(self, number: int, transaction: Wire) -> bool:
        """Apply a transaction if its conditions hold; return whether the writer is informed."""
        outcome = self.outcomes.get(number, "applied")
        conditions = transaction["if"]
        versions = {key: item.version for key, item in self.items.items()}
        holds = all(versions.get(c["k"], 0) == c["stamp"] for c in conditions)
        applied = holds and outcome != "never"
        if applied:
            self.revision += 1
            for change in transaction["then"]:
                if "put" in change:
                    item = Item(change["put"], change["data"], self.revision)
                    self.items[item.key] = item
                else:
                    self.items.pop(change["drop"], None)
        return applied and outcome == "applied"

    def read(self, keys: Iterable[str]) -> dict[str, Item | None]:
        """Return the items stored under the keys."""
        return {key: self.items.get(key) for key in keys}

    def items_with_prefix(self, prefix: str) -> list[Item]:
        """Return the items whose keys start with the prefix, sorted by key."""
        items = sorted(self.items.values(), key=lambda item: item.key)
        return [item for item in items if item.key.startswith(prefix)]
