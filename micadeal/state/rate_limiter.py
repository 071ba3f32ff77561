"""Keeps one controller's requests to the state service below the shared rate limits."""

from __future__ import annotations

from datetime import timedelta
from enum import IntEnum

from micadeal.clock import ZERO, monotonic
from micadeal.state.budget import TokenBucket
from micadeal.state.errors import UnavailableError
from micadeal.state.limits import Limits
from micadeal.timeouts import sleep

#: Fractions of the limits that one controller may use.  Those of all controllers add up to more
#: than 1, since usually only the leader needs much; a 429 corrects the other cases.
REQUESTS_SHARE = 0.6
CHANGES_SHARE = 0.8
#: Fraction of a bucket reserved for more urgent requests, per step down in urgency.
RESERVE_PER_STEP = 0.08


class Urgency(IntEnum):
    """Urgency of a request when the rate limits are scarce, most urgent first.

    A less urgent request leaves a larger reserve in the bucket.  ``LEASE`` is never delayed.
    """

    LEASE = 0
    USER = 1
    #: Ends of jobs: users ask for them, and other jobs wait for them.
    END = 2
    PLACEMENT = 3
    DEFERRED = 4


class RateLimiter:
    """One controller's share of the request and change limits of the state service.

    A controller can't see how much of the shared limits the others use.  Each uses up to a large
    fraction of them, leaves a reserve for more urgent requests, and empties its buckets after a
    429.
    """

    def __init__(self, limits: Limits, now: timedelta) -> None:
        requests = limits.requests_per_s * REQUESTS_SHARE
        changes = limits.changes_per_s * CHANGES_SHARE
        self._requests = TokenBucket(requests, requests, now)
        self._changes = TokenBucket(changes, changes, now)

    async def acquire(self, changes: int, urgency: Urgency, deadline: timedelta) -> None:
        """Wait until one request with ``changes`` puts and deletes may be sent.

        Raises ``UnavailableError`` as soon as it is clear that this would be after ``deadline``
        (``monotonic()``).
        """
        if urgency is Urgency.LEASE:
            return
        await self._take(self._requests, 1, urgency, deadline)
        if changes:
            await self._take(self._changes, changes, urgency, deadline)

    @staticmethod
    async def _take(budget: TokenBucket, units: int, urgency: Urgency, deadline: timedelta) -> None:
        reserve = budget.burst * RESERVE_PER_STEP * urgency
        while (wait := budget.take(units, monotonic(), reserve)) != ZERO:
            if monotonic() + wait > deadline:
                raise UnavailableError("rate limit of this controller")
            await sleep(wait)

    def drain(self) -> None:
        """Empty the buckets after the service answered 429."""
        now = monotonic()
        self._requests.drain(now)
        self._changes.drain(now)
