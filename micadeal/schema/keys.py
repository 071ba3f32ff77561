"""Names of all keys that we keep.  docs/safety.md says what each holds, and who writes it.

A name that ends in a slash is a prefix.
"""

from __future__ import annotations

#: Who leads now or led last (``LeaderRecord``).  Nothing else may begin with ``leader``: versions
#: before feature levels watch that prefix from the version of the key, and would ask again and
#: again, as fast as they are answered.
LEADER = "leader"
#: The leader lock (rollout/leader_lock.py): everything that an election reads at once.
LEADER_LOCK_PREFIX = "seat/"
#: Who holds the lock, attached to the holder's lease (``LockHolderRecord``).
LOCK_HOLDER = "seat/held"
#: The feature level in force (``LevelRecord``).
LEVEL = "seat/level"
#: The process that runs of each controller, by name (``MemberRecord``).
MEMBER = "seat/member/"
#: Cancellations that a controller can't confirm alone, by its name (``UnconfirmedRecord``).
UNCONFIRMED = "seat/unconfirmed/"

#: Submitted jobs, by id (``JobRecord`` or ``SplitRecord``).
JOBS = "job/"
#: The rest of jobs that are too large for one value, by id and number (``PartRecord``).
PARTS = "part/"
#: Jobs that are done or cancelled, by id (``EndRecord``).
ENDS = "end/"
#: Finished tasks by job and chunk, in the chunks that versions before ``finished/`` read.
DONE = "done/"
#: Finished tasks by job and chunk, in smaller chunks (``FinishedRecord``).
FINISHED = "finished/"
#: Tasks that may be on machines, by token and number (``PlacedRecord``).
PLACED = "placed/"
#: The same in the layout of the first versions, by machine (``MachineRecord``): read at feature
#: level 0, and replaced as they change.
MACHINE_PLACEMENTS = "machine/"
#: Images that machines are likely to hold, by page (``ImagesRecord``).
IMAGES = "images/"
#: Machines that the cloud is asked to end, by token and number (``ReturnedMachinesRecord``).
LEAVING = "leaving/"
#: The operators' script (``SettingsRecord``).
SETTINGS = "settings"


def job_id_of_key(key: str) -> str:
    """Return the id of the job that a key under ``DONE`` or ``FINISHED`` belongs to."""
    return key.split("/")[1]
