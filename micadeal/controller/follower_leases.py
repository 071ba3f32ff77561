"""Lease renewal by followers: the state, promises and responses of one controller.

Owns the controller's renewal state, its views of the peers and its list of cancellations.  Performs
no I/O; ``leadership/follower_leases.py`` makes the decisions.
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

#: A controller treats the state service as unreachable after this time without a response.  An
#: idle controller gets one every two seconds, when a watch returns.
STATE_CONTACT_TIMEOUT = seconds(3)
#: Maximum length of the list of cancellations: more than is expected within
#: ``cancellation_retention``.
MAX_CANCELLATIONS = 1500
#: Maximum duration accepted in a message, in milliseconds.
MAX_DURATION_MS = 1e12


class FollowerLeases:
    """The renewal state of one controller; it outlives terms as leader."""

    def __init__(self, peers: Iterable[str], timing: RenewalTiming, now: timedelta) -> None:
        """Create the state of a process that starts at ``now``.

        ``peers`` names all other controllers.
        """
        self.timing = timing
        self._state = RenewalState(now)
        self._views = {name: PeerRenewalView() for name in peers}
        #: Jobs whose cancellation was, or may be, confirmed to a user, and when this controller
        #: learned of each.
        self._cancellations: dict[str, timedelta] = {}
        #: When the list last overflowed and lost an entry that may still matter.
        self._overflowed_at: timedelta | None = None
        self._renewing = False
        #: Controllers that last sent the token of a past term.
        self._stale_leaders: set[str] = set()

    # -- cancellations ---------------------------------------------------------------------

    def add_cancellation(self, job_id: str, now: timedelta, age: timedelta = ZERO) -> bool:
        """Add a cancellation to the list; return whether it is new there."""
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
        expired = [job_id for job_id, at in self._cancellations.items() if now - at > max_age]
        for job_id in expired:
            del self._cancellations[job_id]

    def cancelled_jobs(self) -> tuple[str, ...]:
        """Return the ids of all jobs on the list of cancellations."""
        return tuple(self._cancellations)

    def cancellations_known_until(self, now: timedelta) -> timedelta | None:
        """Return up to when every confirmed cancellation is known here; None: unknown."""
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
        """Add this controller's requests to a ping.

        ``leading_token`` is the token of the term that this controller leads; 0: it does not lead.
        """
        message.leading_token = leading_token
        message.wants_cancellations = not state_reachable or not self._is_synced(now)
        if not leading_token and not state_reachable:
            message.wants_consent = self._state.token

    def promise(
        self, ping: peers.Ping, leading: bool, state_reachable: bool, now: timedelta
    ) -> peers.RenewalPromise:
        """Return the renewal promise for the answer to a ping.

        It promises a leader that this controller abstains from renewals for a while.  It may give
        a follower this controller's vote.
        """
        if ping.leading_token > 0:
            self._on_leader_contact(ping.controller, ping.leading_token, now)
        is_list_synced = self._is_synced(now)
        vote_token = 0
        if (
            ping.wants_consent
            and ping.wants_cancellations
            and not leading
            # While the state service is reachable, electing a leader serves workers better.
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
            # The ping is delayed, or its sender does not know yet that its term is over.
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
        """Merge a peer's answer to a ping; return the cancellations that were not known here.

        Raises ``MessageFormatError`` for durations out of range; such an answer has no effect.
        """
        report = None if promise is None else _decode_report(promise)
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
        """Return the view of each peer."""
        return tuple(self._views.values())

    # -- workers ---------------------------------------------------------------------------

    def renew(
        self, heartbeat: Heartbeat, state_reachable: bool, now: timedelta
    ) -> HeartbeatResponse | None:
        """Return the response to a worker in place of the leader; None if none is allowed."""
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
            # A higher token belongs to a leader that has not contacted this controller: that leader
            # decides.
            return None
        self._state = state.with_commitment(state.token, now)
        # Guards ``ran_cancelled``: every controller that answers a worker stops cancelled tasks.
        return HeartbeatResponse(state.token, stop_commands(heartbeat, self._cancellations))


def _decode_report(promise: peers.RenewalPromise) -> PeerReport:
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
    """Convert a duration in a peer's message; raise ``MessageFormatError`` if out of range."""
    if not math.isfinite(milliseconds) or abs(milliseconds) > MAX_DURATION_MS:
        raise MessageFormatError(f"duration out of range: {milliseconds}")
    return seconds(milliseconds / 1000)
