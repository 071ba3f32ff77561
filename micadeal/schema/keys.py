"""Names of all keys that we keep.  docs/safety.md says what each holds, and who writes it."""

from __future__ import annotations

#: The seat: who leads, at which level, which processes serve (rollout/leader_lock.py).
#: Nothing else may begin with ``leader``: versions before levels watch that prefix from the version
#: of the key, and would ask again and again, as fast as they are answered.
LEADER = "leader"
LEADER_LOCK = "seat/"
LOCK_HOLDER = "seat/held"
LEVEL = "seat/level"
MEMBER = "seat/member/"

JOBS = "job/"
#: The rest of descriptions that are too large for one value.
PARTS = "part/"
ENDS = "end/"
#: Finished sets in chunks that versions before ``finished/`` read, and in smaller ones.
DONE = "done/"
FINISHED = "finished/"
PLACED = "placed/"
#: Placements in the layout of the first versions: read at level 0, and replaced as they change.
OLD_PLACED = "machine/"
IMAGES = "images/"
LEAVING = "leaving/"
SETTINGS = "settings"


def job_of(key: str) -> str:
    """The job that a key of a finished set belongs to."""
    return key.split("/")[1]
