"""Model checker: followers renew workers' leases while no leader can be elected.

Run ``python3 -m bench.model_follower_leases``, with ``--help`` for the options.

The world has three controllers, one worker and one task.  The code under test is the real one: a
controller is a ``FollowerLeases``, the leader decides by ``may_expire_leases`` and
``Term.authority``.  Time moves in steps of one second.  Between two steps any of these may happen:

- a controller pings another (a message that is not sent stands for a network partition);
- an answer is delayed and arrives later;
- a controller crashes and is back at once;
- the worker sends a heartbeat to any controller;
- a controller confirms to a user that the job is cancelled;
- the leader treats the worker's lease as expired.

With ``--reading`` the leader was elected a moment ago and has not read its records yet.  The reads
may fail, or complete late and be older than a cancellation.

States that can't differ in any later decision are merged, so the search ends by itself.

Each guard of the code can be disabled by false inputs (``GUARDS``); each must then break a rule.

===============  =================================================================
module           concern
===============  =================================================================
``state``        controllers, messages and states as hashable values
``conversion``   values to and from the code under test, merging of states
``decisions``    calls of the code under test, cached
``guards``       false inputs, and the guards that they disable
``moves``        everything that may happen next
``explorer``     breadth-first search
``__main__``     command line
===============  =================================================================
"""

from bench.model_follower_leases.explorer import Outcome, explore
from bench.model_follower_leases.guards import GUARDS, FalseInputs, Guard

__all__ = ["GUARDS", "FalseInputs", "Guard", "Outcome", "explore"]
