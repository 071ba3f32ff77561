"""Model checker for the renewal of workers' leases by followers while no leader can be elected.

Run ``python3 -m bench.model_follower_leases``, with ``--help`` for the options.

The model has three controllers, one worker and one task.  It calls the real code: each controller
is a ``FollowerLeases``, and the leader decides by ``may_expire_leases`` and ``Term.authority``.
Time advances in steps of one second.  Between two steps, any of these may happen:

- a controller pings another (a ping that is not sent represents a network partition);
- an answer is delayed and arrives later;
- a controller crashes and restarts immediately;
- the worker sends a heartbeat to any controller;
- a controller confirms to a user that the job is cancelled;
- the leader treats the worker's lease as expired.

With ``--reading`` the leader has just been elected and has not read its records yet.  The reads may
fail, or complete late with a state from before a cancellation.

States that lead to the same decisions are merged, so the number of states is finite.

Each guard of the code can be disabled by false inputs (``GUARDS``); a rule must then break.

===============  =================================================================
module           concern
===============  =================================================================
``state``        controllers, messages and states as hashable values
``conversion``   conversion to and from the code under test, merging of states
``decisions``    cached calls of the code under test
``guards``       guards, and the false inputs that disable them
``moves``        all moves that are possible in a state
``explorer``     breadth-first search
``__main__``     command line
===============  =================================================================
"""

from bench.model_follower_leases.explorer import Outcome, explore
from bench.model_follower_leases.guards import GUARDS, FalseInputs, Guard

__all__ = ["GUARDS", "FalseInputs", "Guard", "Outcome", "explore"]
