"""One controller's part in lease renewal by followers: its state, its promises and its answers.

Owns the controller's renewal state, its views of the peers and the list of cancellations.  No input
or output; the decisions are those of ``leadership/follower_leases.py``.
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
    PeerReport,
    RenewalState,
    RenewalTiming,
    cancellations_known_until,
    is_synced,
    may_renew_leases,
    may_vote,
    stop_commands,
)
from micadeal.wire import peers
from micadeal.wire.codec import MessageFormatError
from micadeal.wire.workers import Heartbeat, HeartbeatResponse

log = logging.getLogger(__name__)

#: After so long without a response a controller treats the state service as unreachable.  Idle
#: controllers hear from it every two seconds, when a watch returns.
STATE_CONTACT_TIMEOUT = seconds(3)
#: Maximum length of the list of cancellations: more than a day could bring within
#: ``cancellation_retention``.
MAX_CANCELLATIONS = 1500
#: Durations in messages beyond this many milliseconds are refused.
MAX_DURATION_MS = 1e12


class FollowerLeases:
    """The renewal state of one controller, which outlives its terms as a leader."""

    def __init__(self, peers: Iterable[str], timing: RenewalTiming, now: timedelta) -> None:
        """Create the state of a process that starts ``now``; ``peers``: all other controllers."""
        self.timing = timing
        self._state = RenewalState(now)
        self._views = {name: PeerRenewalView() for name in peers}
        #: Jobs that a user was, or may be, answered to be cancelled, and when we learned of each.
        self._cancellations: dict[str, timedelta] = {}
        #: When the list last lost an entry that still mattered.
        self._overflowed_at: timedelta | None = None
        self._renewing = False
        #: Controllers that last sent the token of a past term.
        self._stale_leaders: set[str] = set()

    # -- cancellations ---------------------------------------------------------------------

    def add_cancellation(self, job_id: str, now: timedelta, age: timedelta = ZERO) -> bool:
        """Add a cancellation to the list; return whether it was not on it yet."""
        if job_id in self._cancellations or not JOB_ID.match(job_id):
            return False
        self._drop_old_cancellations(now)
        if len(self._cancellations) >= MAX_CANCELLATIONS:
            del self._cancellations[min(self._cancellations, key=self._cancellations.__getitem__)]
            self._overflowed_at = now
        self._cancellations[job_id] = now - max(age, ZERO)
        return True

    def _drop_old_cancellations(self, now: timedelta) -> None:
        max_age = self.timing.cancellation_retention * 2
        old = [job_id for job_id, at in self._cancellations.items() if now - at > max_age]
        for job_id in old:
            del self._cancellations[job_id]

    def cancelled_jobs(self) -> tuple[str, ...]:
        """Return the ids of all jobs on the list of cancellations."""
        return tuple(self._cancellations)

    def cancellations_known_until(self, now: timedelta) -> timedelta | None:
        """Return up to which instant we know of every confirmed cancellation; None: unknown."""
        if not self._is_synced(now):
            return None
        return cancellations_known_until(self._views.values(), now, self.timing)

    def _is_synced(self, now: timedelta) -> bool:
        if (
            self._overflowed_at is not None
            and now - self._overflowed_at < self.timing.cancellation_retention
        ):
            return False
        return is_synced(self._state, self._views.values(), now, self.timing)

    # -- between controllers ---------------------------------------------------------------

    def prepare_ping(
        self, message: peers.Ping, leading_token: int, state_reachable: bool, now: timedelta
    ) -> None:
        """Add to a ping what we ask of a peer.

        ``leading_token`` is that of the term that we lead; 0: we do not lead.
        """
        message.leading_token = leading_token
        message.wants_cancellations = not state_reachable or not self._is_synced(now)
        if not leading_token and not state_reachable:
            message.wants_consent = self._state.token

    def promise(
        self, ping: peers.Ping, leading: bool, state_reachable: bool, now: timedelta
    ) -> peers.RenewalPromise:
        """Return our part of the answer to a ping.

        A leader gets our promise to abstain for a while; a follower may get our vote.
        """
        if ping.leading_token > 0:
            self._on_leader_contact(ping.controller, ping.leading_token, now)
        is_list_synced = self._is_synced(now)
        vote_token = 0
        if (
            ping.wants_consent
            and ping.wants_cancellations
            and not leading
            # Otherwise one of us can be elected, which serves workers better.
            and not state_reachable
            and may_vote(self._state, ping.wants_consent, is_list_synced, now, self.timing)
        ):
            vote_token = ping.wants_consent
            self._state = self._state.with_commitment(vote_token, now + self.timing.vote_duration)
        state = self._state
        committed_for = ZERO if state.committed_until is None else state.committed_until - now
        cancellations = None
        if ping.wants_cancellations:
            cancellations = {
                job_id: _milliseconds(now - at) for job_id, at in self._cancellations.items()
            }
        return peers.RenewalPromise(
            age_ms=_milliseconds(now - state.started_at),
            synced=is_list_synced,
            consent=vote_token,
            bound_token=state.committed_token,
            bound_ms=_milliseconds(committed_for),
            cancellations=cancellations,
        )

    def _on_leader_contact(self, name: str, token: int, now: timedelta) -> None:
        if token < self._state.token:
            # Delayed by the network, or from a leader that does not know that its term is over.
            if name not in self._stale_leaders:
                self._stale_leaders.add(name)
                log.warning("ping of a past term refused: controller=%s token=%d", name, token)
            return
        self._stale_leaders.discard(name)
        self._state = self._state.with_leader_contact(token, now)

    def on_ping_answer(
        self,
        name: str,
        promise: peers.RenewalPromise | None,
        asked_at: timedelta,
        now: timedelta,
        leading_token: int,
    ) -> list[str]:
        """Merge a peer's answer to our ping; return the cancellations that are new to us.

        Raises ``MessageFormatError`` for durations out of range: such an answer counts for nothing.
        """
        report = None if promise is None else _report(promise)
        view = self._views[name]
        self._views[name] = view.with_answer(report, asked_at, now, leading_token, self.timing)
        if promise is None or promise.cancellations is None:
            return []
        return [
            job_id
            for job_id, age_ms in promise.cancellations.items()
            if self.add_cancellation(job_id, now, _duration(age_ms))
        ]

    def views(self) -> tuple[PeerRenewalView, ...]:
        """Return what we know of each peer."""
        return tuple(self._views.values())

    # -- workers ---------------------------------------------------------------------------

    def renew(
        self, heartbeat: Heartbeat, state_reachable: bool, now: timedelta
    ) -> HeartbeatResponse | None:
        """Return the response to a worker in place of the leader; None: we must not give one."""
        state = self._state
        if not state.token:
            return None
        may_renew = not state_reachable and may_renew_leases(
            state, self._views.values(), self._is_synced(now), now, self.timing
        )
        if may_renew is not self._renewing:
            self._renewing = may_renew
            change = "started" if may_renew else "stopped"
            log.info("renewing leases as follower %s: token=%d", change, state.token)
        if not may_renew or heartbeat.token > state.token:
            # A higher token is that of a leader that has not contacted us: it decides.
            return None
        self._state = state.with_commitment(state.token, now)
        # Guards ``ran_cancelled``: what was cancelled is stopped by whoever answers.
        return HeartbeatResponse(state.token, stop_commands(heartbeat, self._cancellations))


def _report(promise: peers.RenewalPromise) -> PeerReport:
    return PeerReport(
        age=_duration(promise.age_ms),
        synced=promise.synced,
        vote_token=promise.consent,
        committed_token=promise.bound_token,
        committed_for=_duration(promise.bound_ms),
        has_list=promise.cancellations is not None,
    )


def _milliseconds(duration: timedelta) -> float:
    return duration.total_seconds() * 1000


def _duration(milliseconds: float) -> timedelta:
    """Convert a duration of a peer's message; raise ``MessageFormatError`` if out of range."""
    if not math.isfinite(milliseconds) or abs(milliseconds) > MAX_DURATION_MS:
        raise MessageFormatError(f"not a span of time: {milliseconds}")
    return seconds(milliseconds / 1000)
