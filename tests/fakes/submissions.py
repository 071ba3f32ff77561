"""Job descriptions for tests."""

from __future__ import annotations

from micadeal.wire.users import Priority, Shape, Submission


def spec(**fields: object) -> Submission:
    """Return the description of a small job, with the given fields changed."""
    values: dict[str, object] = {
        "job_id": "req-1", "job_class": "c", "team": "red", "shape": Shape.ARRAY,
        "priority": Priority.STANDARD, "tasks": 1, "cpus": 2.0, "gpus": 1.0, "memory_gb": 4.0,
        "image": "img", "image_gb": 1.0, "one_zone": False, "spread": False,
        "spot_allowed": False, "estimate_s": 10.0, "checkpoint_s": 0.0, "save_s": 0.0,
    }  # fmt: skip
    values.update(fields)
    return Submission(**values)  # type: ignore[arg-type]
