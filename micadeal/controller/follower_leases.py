"""One controller's part in standing in for a leader: what it promises, remembers and answers.

Owns the node's memory, its views of the others and the list of cancellations.  No I/O; the
decisions are those of ``leadership/follower_leases.py``.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable
from datetime import timedelta

from micadeal.clock import ZERO, seconds
from micadeal.jobs.validate import JOB_ID
from micadeal.leadership.follower_leases import (
    PeerRenewalView,
    RenewalPromise,
    RenewalState,
    RenewalTiming,
    cancellations_known_until,
    may_consent,
    may_renew_leases,
    stop_commands,
    synced,
)
from micadeal.wire import peers
from micadeal.wire.codec import MessageFormatError
from micadeal.wire.workers import Heartbeat, HeartbeatResponse

log = logging.getLogger(__name__)

#: Without an answer of the state service for this long a controller takes it for out of reach.
#: Idle ones hear from it every two seconds, when a watch comes back.
STATE_CONTACT_TIMEOUT = seconds(3)
#: Cancellations on the list at most: of more than a day could bring within ``settled``.
MOST_TOLD = 1500


class FollowerLeases:
    def __init__(self, peers: Iterable[str], timing: RenewalTiming, now: timedelta) -> None:
        self.timing = timing
        self._memory = RenewalState(now)
        self._views = {name: PeerRenewalView() for name in peers}
        #: Jobs that a user was, or may be, told to be cancelled: when we learned of it.
        self._told: dict[str, timedelta] = {}
        #: When the list last lost an entry too early.
        self._overflow: timedelta | None = None
        self._standing_in = False
        self._backwards: set[str] = set()

    # -- cancellations ---------------------------------------------------------------------

    def note(self, job_id: str, now: timedelta, age: timedelta = ZERO) -> bool:
        """Put a cancellation on the list; whether it is news."""
        if job_id in self._told or not JOB_ID.match(job_id):
            return False
        for name in [n for n, at in self._told.items() if now - at > self.timing.settled * 2]:
            del self._told[name]
        if len(self._told) >= MOST_TOLD:
            del self._told[min(self._told, key=self._told.__getitem__)]
            self._overflow = now
        self._told[job_id] = now - max(age, ZERO)
        return True

    def told(self) -> tuple[str, ...]:
        """All that is on the list."""
        return tuple(self._told)

    def _synced(self, now: timedelta) -> bool:
        if self._overflow is not None and now - self._overflow < self.timing.settled:
            return False
        return synced(self._memory, self._views.values(), now, self.timing)

    # -- between controllers ---------------------------------------------------------------

    def ping(
        self, message: peers.Ping, leading: int, state_reachable: bool, now: timedelta
    ) -> peers.Ping:
        """Add what we ask of a peer."""
        message.leading_token = leading
        message.wants_told = not state_reachable or not self._synced(now)
        if not leading and not state_reachable:
            message.wants_consent = self._memory.token
        return message

    def word(
        self, ping: peers.Ping, leading: bool, state_reachable: bool, now: timedelta
    ) -> peers.RenewalPromise:
        """Our word in answer to a ping: a leader is promised that we keep quiet for a while, others
        may get our consent."""
        if ping.leading_token > 0:
            self._hear_leader(ping.controller, ping.leading_token, now)
        join_parts = self._synced(now)
        consent = 0
        if (
            ping.wants_consent
            and ping.wants_told
            and not leading
            # Else one of us can be elected, which serves workers better.
            and not state_reachable
            and may_consent(self._memory, ping.wants_consent, join_parts, now, self.timing)
        ):
            consent = ping.wants_consent
            self._memory = self._memory.bind(consent, now + self.timing.consent)
        memory = self._memory
        bound = ZERO if memory.bound_until is None else memory.bound_until - now
        told = None
        if ping.wants_told:
            told = {n: (now - at).total_seconds() * 1000 for n, at in self._told.items()}
        return peers.RenewalPromise(
            (now - memory.born).total_seconds() * 1000,
            join_parts,
            consent,
            memory.bound_token,
            bound.total_seconds() * 1000,
            told,
        )

    def _hear_leader(self, name: str, token: int, now: timedelta) -> None:
        if token < self._memory.token:
            # Held by the network, or of a leader that does not know that it is none any more.
            if name not in self._backwards:
                self._backwards.add(name)
                log.warning("%s speaks of the past term %d; refused", name, token)
            return
        self._backwards.discard(name)
        self._memory = self._memory.hear_leader(token, now)

    def hear(
        self,
        name: str,
        found: peers.RenewalPromise | None,
        asked: timedelta,
        now: timedelta,
        leading: int,
    ) -> list[str]:
        """Take in a peer's answer to a ping; the cancellations that are news.

        Raises ``MessageFormatError`` for numbers that make no sense: such an answer counts for
        nothing.
        """
        word = None
        if found is not None:
            word = RenewalPromise(
                _span(found.age_ms),
                found.synced,
                found.consent,
                found.bound_token,
                _span(found.bound_ms),
                found.told is not None,
            )
        view = self._views[name]
        self._views[name] = view.hear(word, asked, now, leading, self.timing)
        told = found.told if found is not None else None
        return [job for job, age in (told or {}).items() if self.note(job, now, _span(age))]

    def views(self) -> tuple[PeerRenewalView, ...]:
        return tuple(self._views.values())

    def cancellations_known_until(self, now: timedelta) -> timedelta | None:
        if not self._synced(now):
            return None
        return cancellations_known_until(self._views.values(), now, self.timing)

    # -- workers ---------------------------------------------------------------------------

    def answer(
        self, heartbeat: Heartbeat, state_reachable: bool, now: timedelta
    ) -> HeartbeatResponse | None:
        """What a worker is answered in the leader's place; None: that is not for us to do."""
        memory = self._memory
        if not memory.token:
            return None
        stands = not state_reachable and may_renew_leases(
            memory, self._views.values(), self._synced(now), now, self.timing
        )
        if stands is not self._standing_in:
            self._standing_in = stands
            log.info(
                "%s in for the leader of term %d", "stands" if stands else "no longer stands",
                memory.token,
            )  # fmt: skip
        if not stands or heartbeat.token > memory.token:
            # A higher token is that of a leader that we have not heard of: its word counts.
            return None
        self._memory = memory.bind(memory.token, now)
        # Guards ``ran_cancelled``: what was cancelled is stopped whoever answers.
        return HeartbeatResponse(memory.token, stop_commands(heartbeat, self._told))


def _span(milliseconds: float) -> timedelta:
    """A span of a peer's message."""
    if not math.isfinite(milliseconds) or abs(milliseconds) > 1e12:
        raise MessageFormatError(f"not a span of time: {milliseconds}")
    return seconds(milliseconds / 1000)
