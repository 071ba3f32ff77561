"""Groups attempts into placement records within the size limit of a value."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from micadeal.controller.persistence.value_sizes import max_json_size
from micadeal.fleet.machines import Attempt, Machine
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.state import PlacedMachine, PlacedRecord

#: Upper bounds in bytes: of an attempt excluding its job id, and of a machine excluding its texts.
ATTEMPT_BYTES = 36
MACHINE_BYTES = 70


@dataclass(slots=True)
class PlacementChunk:
    """Attempts that fit into one value; sizes are upper bounds."""

    cluster: ClusterState
    max_bytes: int
    attempts: list[Attempt] = field(default_factory=list)
    _machine_names: set[str] = field(default_factory=set)
    _size: int = 0

    def add(self, attempt: Attempt) -> bool:
        """Add an attempt if it fits; the first one is always added."""
        machine = self.cluster.machines[attempt.machine]
        size = max_json_size(attempt.job_id) + ATTEMPT_BYTES
        if machine.name not in self._machine_names:
            size += _machine_size(machine)
        if self.attempts and self._size + size > self.max_bytes:
            return False
        self.attempts.append(attempt)
        self._machine_names.add(machine.name)
        self._size += size
        return True

    def add_all(self, attempts: Iterable[Attempt]) -> bool:
        """Add all of the attempts, or none and return False."""
        count, names, size = len(self.attempts), set(self._machine_names), self._size
        for attempt in attempts:
            if not self.add(attempt):
                del self.attempts[count:]
                self._machine_names, self._size = names, size
                return False
        return True

    def record(self) -> PlacedRecord:
        """Return the placement record of the attempts, grouped by machine."""
        entries: dict[str, PlacedMachine] = {}
        for attempt in self.attempts:
            entry = entries.get(attempt.machine)
            if entry is None:
                machine = self.cluster.machines[attempt.machine]
                entry = entries[attempt.machine] = PlacedMachine(
                    machine.name,
                    machine.address,
                    machine.machine_type,
                    machine.zone,
                    machine.spot,
                    machine.incarnation,
                    [],
                )
            entry.tasks.append(attempt.placed_task)
        return PlacedRecord(list(entries.values()))


def _machine_size(machine: Machine) -> int:
    texts = (machine.name, machine.address, machine.machine_type, machine.zone)
    return MACHINE_BYTES + sum(map(max_json_size, texts))
