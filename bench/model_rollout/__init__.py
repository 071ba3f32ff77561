"""Model checker: the feature level of the stored state changes while controllers are replaced.

Run ``python3 -m bench.model_rollout``, with ``--help`` for the options.

The world has three controllers and the state service.  The decisions and transactions are the real
ones (``micadeal/rollout``).  Between two steps any of these may happen:

- a controller reads the leader lock, registers its process or campaigns;
- the leader writes a record, rewrites one, asks a peer for its process or changes the level;
- a transaction in flight is applied, or lost; it may be in flight for as long as it likes;
- a process ends and comes back with any version (one without feature levels, or one that knows
  levels up to 1 or 2);
- the leader's lease expires;
- the operators change the highest level that they allow.

Bounded are the numbers of ends of processes, lease expiries, records written and changes by
operators.  Broken is a path in which

- a controller leads or serves users by a level that it does not know;
- a record is stored that a reader who goes by the recorded levels would not look for;
- a fencing token is not larger than all before it.

Each guard of the code, when disabled (``GUARDS``), must break one of these.

================  ================================================================
module            concern
================  ================================================================
``state``         controllers, transactions and states as hashable values
``transactions``  transactions in flight, and their effect on the store
``moves``         everything that may happen next
``rules``         what must hold in every state
``explorer``      initial states and breadth-first search
``guards``        guards that can be disabled
``__main__``      command line
================  ================================================================
"""

from bench.model_rollout.explorer import Outcome, explore, start
from bench.model_rollout.guards import GUARDS, broken_without

__all__ = ["GUARDS", "Outcome", "broken_without", "explore", "start"]
