"""Model checker for changes of the feature level while controllers are replaced.

Run ``python3 -m bench.model_rollout``, with ``--help`` for the options.

The model has three controllers and the state service.  It calls the real decisions and transactions
(``micadeal/rollout``).  Between two steps, any of these may happen:

- a controller reads the leader lock, registers its process or campaigns;
- the leader writes a record, rewrites one, asks a peer for its process or changes the level;
- a transaction in flight is applied or lost; it may be in flight for any time;
- a process restarts with any version (one without feature levels, or one that knows levels up to 1
  or 2);
- the leader's lease expires;
- the operators change the highest level that they allow.

The numbers of restarts, lease expiries, records written and changes by operators are bounded.
These rules must hold in every path:

- no controller leads or serves users at a level that it does not know;
- no record is stored in a layout outside the range of the level record, which readers would miss;
- every fencing token is larger than all earlier ones.

If a guard of the code is disabled (``GUARDS``), one of these must break.

================  ================================================================
module            concern
================  ================================================================
``state``         controllers, transactions and states as hashable values
``transactions``  transactions in flight, and their effect on the store
``moves``         all moves that are possible in a state
``rules``         rules that must hold in every state
``explorer``      initial states and breadth-first search
``guards``        guards that can be disabled
``__main__``      command line
================  ================================================================
"""

from bench.model_rollout.explorer import Outcome, explore, initial_state
from bench.model_rollout.guards import GUARDS, broken_without

__all__ = ["GUARDS", "Outcome", "broken_without", "explore", "initial_state"]
