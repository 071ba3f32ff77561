"""Names of all keys in the state service; docs/safety.md lists their contents and writers.

A name that ends in a slash is a prefix.
"""

from __future__ import annotations

#: The current or last leader (``LeaderRecord``).  No other key may begin with ``leader``: versions
#: before feature levels watch that prefix from the version of this key, and would repeat the watch
#: without a pause after a change of another key.
LEADER = "leader"
#: The leader lock (rollout/leader_lock.py): all keys that an election reads together.
LEADER_LOCK_PREFIX = "seat/"
#: The holder of the lock (``LockHolderRecord``), attached to the holder's session lease.
LOCK_HOLDER = "seat/held"
#: The feature level in force (``LevelRecord``).
LEVEL = "seat/level"
#: The running process of each controller, by the controller's name (``MemberRecord``).
MEMBER = "seat/member/"
#: Cancellations that a controller can't confirm alone, by the controller's name
#: (``UnconfirmedRecord``).
UNCONFIRMED = "seat/unconfirmed/"

#: Submitted jobs, by id (``JobRecord`` or ``SplitRecord``).
JOBS = "job/"
#: Further parts of jobs that are too large for one value, by id and number (``PartRecord``).
PARTS = "part/"
#: Jobs that are done or cancelled, by id (``EndRecord``).
ENDS = "end/"
#: Finished tasks by job and chunk, in the larger chunks that versions before ``finished/`` read.
DONE = "done/"
#: Finished tasks by job and chunk, in smaller chunks (``FinishedRecord``).
FINISHED = "finished/"
#: Tasks that may be on machines, by fencing token and number (``PlacedRecord``).
PLACED = "placed/"
#: Tasks that may be on machines in the layout of the first versions, by machine
#: (``MachineRecord``): read at feature level 0, and replaced by ``PLACED`` when they change.
MACHINE_PLACEMENTS = "machine/"
#: Images that machines are likely to hold, by page (``ImagesRecord``).
IMAGES = "images/"
#: Machines that are being returned to the cloud, by fencing token and number
#: (``ReturnedMachinesRecord``).
LEAVING = "leaving/"
#: The operators' script (``SettingsRecord``).
SETTINGS = "settings"


def job_id_of_key(key: str) -> str:
    """Return the id of the job that a key under ``DONE`` or ``FINISHED`` belongs to."""
    return key.split("/")[1]
