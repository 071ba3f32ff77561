"""Job descriptions for tests."""

from __future__ import annotations

from hashlib import sha256
from typing import Any

from micadeal.wire.users import Priority, Shape, Submission

#: Largest value that a state service with ``ANNOUNCED_STATE_LIMITS`` accepts, in bytes.
SMALL_VALUE_BYTES = 2048
#: Machine types whose names hardly compress; together they exceed ``SMALL_VALUE_BYTES``.
MANY_MACHINE_TYPES = [sha256(str(number).encode()).hexdigest() for number in range(90)]
#: Fields of a submission that is stored in parts because of ``SMALL_VALUE_BYTES``.
STORED_IN_PARTS: dict[str, Any] = {"rigs": ["box", *MANY_MACHINE_TYPES]}


def spec(**fields: object) -> Submission:
    """Return the description of a small job, with the given fields replaced."""
    values: dict[str, object] = {
        "job_id": "req-1", "job_class": "c", "team": "red", "shape": Shape.ARRAY,
        "priority": Priority.STANDARD, "tasks": 1, "cpus": 2.0, "gpus": 1.0, "memory_gb": 4.0,
        "image": "img", "image_gb": 1.0, "one_zone": False, "spread": False,
        "spot_allowed": False, "estimate_s": 10.0, "checkpoint_s": 0.0, "save_s": 0.0,
    }  # fmt: skip
    values.update(fields)
    return Submission(**values)  # type: ignore[arg-type]
