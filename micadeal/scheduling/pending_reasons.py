"""Texts that tell users and operators why tasks are pending (``why``).

These texts are part of the interface: they are served over HTTP and compared by scripts.
"""

from __future__ import annotations

RUNNING_JOBS_LIMIT = "the team's limit of running jobs is reached"
GANG_ATTEMPT_ENDING = "the gang's last attempt is being brought to an end"
BACKING_OFF = "backing off after errors"
CPU_LIMIT = "the team's limit of cores is reached"
GPU_LIMIT = "the team's limit of accelerators is reached"
ONE_TASK_AT_A_TIME = "only one task at a time is tried after errors on several machines"
WAITS_FOR_IMAGE = "waits a little for a machine that holds its image"
FAULTY_JOB = "no machine is rented for it: it fails on every one, most likely by its own mistake"
CAPACITY_FREES_SOON = "room is likely to come free before a machine could be rented"
BEING_RENTED = "a machine is being rented"
STILL_BOOTING = "a machine for it is still booting"
GANG_INCOMPLETE = "room for the whole gang is being gathered"
MACHINES_NOT_COUNTED = "no room, and renting waits until the machines have been counted"
RENTAL_LIMIT_REACHED = "no room; many machines are being rented already"
CLOUD_REFUSED = "no room, and the cloud refused to rent more a moment ago"
ZONES_EXCLUDED = "no room in a zone that the job's other tasks leave open"
