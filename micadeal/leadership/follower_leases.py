"""Rules for renewing workers' leases as a follower while no leader can act.

A worker accepts a response with the token that it knows from any controller.  So a follower that
knows the current token can renew leases in place of a leader that is gone while the state service
is out of reach.  Two things must never happen at the same time: the leader, which may only
be unreachable from the follower, treats a lease as expired that the follower has renewed
(``ran_twice``); and a controller confirms to a user a cancellation that the follower does not know
(``ran_cancelled``).

Both are excluded by majorities, of which any two share a controller (docs/safety.md):

- A follower renews leases only with the *votes* of so many other controllers that they make a
  majority together with it.
- A leader treats a lease as expired only with the *promises* of so many others that they make a
  majority together with it.  Whoever answers a leader's ping promises neither to renew leases nor
  to vote for ``promise_duration`` from then on.
- A cancellation is confirmed to a user only once a majority, which includes the controller that
  confirms it, has the job on its list of cancellations.  A follower that renews leases stops what
  is on its own list and on those of its voters.

Messages between controllers call a vote ``consent`` (wire/peers.py).

Pure: no input or output, and the caller passes the time.  Instants are monotonic time of the
controller that decides.  What a peer says is dated by the question that it answers, so a response
that the network delayed does not count as recent.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from micadeal.clock import DRIFT, seconds
from micadeal.wire.workers import Command, CommandKind, Heartbeat, TaskState

#: How long the promise given with the answer to a leader's ping holds.  Leaders ping every second.
PROMISE_DURATION = seconds(4)
#: How long a vote holds.  A controller that crashes is back within that time and can vote again.
VOTE_DURATION = seconds(12)
#: For the drift between two clocks over such durations.
CLOCK_SLACK = seconds(0.1)
#: With fewer controllers there is no majority without the leader.
MIN_CLUSTER_SIZE = 3


@dataclass(frozen=True, slots=True)
class RenewalTiming:
    """The durations and the cluster size that the rules depend on."""

    #: A worker that was not heard of for so long has certainly lost its lease.
    lease_expiry: timedelta
    #: A task must be gone so long after the cancellation of its job was confirmed.
    cancel_timeout: timedelta
    #: The number of controllers.
    cluster_size: int
    promise_duration: timedelta = PROMISE_DURATION
    vote_duration: timedelta = VOTE_DURATION
    clock_slack: timedelta = CLOCK_SLACK

    @property
    def majority(self) -> int:
        """The number of controllers that make a majority."""
        return self.cluster_size // 2 + 1

    @property
    def allows_renewal(self) -> bool:
        """Whether renewal by followers can be safe and useful with these durations.

        There must be a majority without the leader.  And a cancellation that a voter learned of
        must reach the follower before the vote is over, or the workers' leases must have expired
        in time.
        """
        return (
            self.cluster_size >= MIN_CLUSTER_SIZE
            and self.vote_duration + self.lease_expiry <= self.cancel_timeout
        )

    @property
    def cancellation_retention(self) -> timedelta:
        """How long a cancellation matters: after that its tasks have to be gone."""
        return self.cancel_timeout * (1 + 2 * DRIFT) + self.clock_slack


@dataclass(frozen=True, slots=True)
class RenewalState:
    """What a controller remembers of itself.  A restart loses it: ``started_at`` dates that."""

    started_at: timedelta
    #: Highest token whose leader has contacted us, and when it last did.
    token: int = 0
    leader_contact_at: timedelta | None = None
    #: The last token under which we renewed leases or voted, and until when that commits us.
    committed_token: int = 0
    committed_until: timedelta | None = None

    def with_leader_contact(self, token: int, now: timedelta) -> RenewalState:
        """Return the state after the leader of a term has contacted us.

        From then on we abstain for it.  A past term changes nothing.
        """
        if token < self.token:
            return self
        return replace(self, token=token, leader_contact_at=now)

    def with_commitment(self, token: int, until: timedelta) -> RenewalState:
        """Return the state after a vote or a renewal under ``token`` that holds ``until``."""
        if token < self.committed_token:
            return self
        if token == self.committed_token and self.committed_until is not None:
            until = max(until, self.committed_until)
        return replace(self, committed_token=token, committed_until=until)


@dataclass(frozen=True, slots=True)
class PeerReport:
    """What a peer says of itself in answer to a ping; durations count from the answer."""

    age: timedelta
    #: Its list of cancellations lacks nothing that its previous process may have known.
    synced: bool
    #: The token of the vote given with this answer; 0: none.
    vote_token: int = 0
    committed_token: int = 0
    #: How long it is still committed; negative: how long it has not been.
    committed_for: timedelta = timedelta(0)
    #: The answer came with the peer's list of cancellations.
    has_list: bool = False


@dataclass(frozen=True, slots=True)
class PeerRenewalView:
    """What we know of one other controller."""

    #: When we sent the ping that it answered last; None: it never answered.
    asked_at: timedelta | None = None
    #: Since when all its answers came with a report; None: its version sends none.
    reports_since: timedelta | None = None
    #: Until when it neither renews leases nor votes, as it has promised us.
    promised_until: timedelta | None = None
    #: The latest instant at which its current process can have started.
    started_at: timedelta | None = None
    vote_token: int = 0
    vote_until: timedelta | None = None
    committed_token: int = 0
    committed_until: timedelta | None = None
    #: When we asked for the last list of cancellations that it sent while it was synced.
    synced_list_asked_at: timedelta | None = None
    #: The same for its last list of any kind, which may lack what its previous process knew.
    list_asked_at: timedelta | None = None

    def with_answer(
        self,
        report: PeerReport | None,
        asked_at: timedelta,
        now: timedelta,
        token: int,
        timing: RenewalTiming,
    ) -> PeerRenewalView:
        """Return the view after the peer's answer to our ping.

        ``token`` is that of the term we led when we asked, else 0.  ``report`` is None if the
        peer's version sends none, or renewal by followers is switched off there.
        """
        if self.asked_at is not None and asked_at < self.asked_at:
            return self
        promised_until = self.promised_until
        if token:
            promised_until = asked_at + timing.promise_duration - timing.clock_slack
        if report is None:
            # An earlier version: it never renews, votes or keeps a list.
            return PeerRenewalView(asked_at=asked_at, promised_until=promised_until)
        return self._with_report(report, asked_at, now, promised_until, timing)

    def _with_report(
        self,
        report: PeerReport,
        asked_at: timedelta,
        now: timedelta,
        promised_until: timedelta | None,
        timing: RenewalTiming,
    ) -> PeerRenewalView:
        # A vote does not count without the list that goes with it.
        vote_token = report.vote_token if report.has_list else 0
        started_at = now - report.age
        # A process sends reports from its start on or never.  So a controller that has itself just
        # started need not listen to an old process for long to know that.
        reports_since = self.reports_since
        if reports_since is None:
            reports_since = min(asked_at, started_at)
        return PeerRenewalView(
            asked_at=asked_at,
            reports_since=reports_since,
            promised_until=promised_until,
            started_at=started_at,
            vote_token=vote_token,
            vote_until=asked_at + timing.vote_duration - timing.clock_slack if vote_token else None,
            committed_token=report.committed_token,
            committed_until=now + report.committed_for if report.committed_token else None,
            synced_list_asked_at=(
                asked_at if report.has_list and report.synced else self.synced_list_asked_at
            ),
            list_asked_at=asked_at if report.has_list else self.list_asked_at,
        )

    def keeps_list(self, now: timedelta, timing: RenewalTiming) -> bool:
        """Return whether the peer has kept a list of cancellations for long enough.

        A version without lists confirms cancellations on its own; none of these may matter still.
        """
        return (
            self.reports_since is not None
            and now - self.reports_since >= timing.cancellation_retention
        )


def is_synced(
    state: RenewalState, views: Iterable[PeerRenewalView], now: timedelta, timing: RenewalTiming
) -> bool:
    """Return whether our list of cancellations lacks nothing.

    What our previous process had on its list must not matter any more, or must have been sent to us
    by *all* others, whose lists lack nothing.
    """
    if now - state.started_at >= timing.cancellation_retention:
        return True
    return all(
        view.synced_list_asked_at is not None and view.synced_list_asked_at >= state.started_at
        for view in views
    )


def may_vote(
    state: RenewalState, token: int, synced: bool, now: timedelta, timing: RenewalTiming
) -> bool:
    """Return whether another controller may get our vote to renew leases under ``token``.

    Guards ``ran_twice``: not while our promise to that leader, or one that our previous process
    gave, still holds.
    """
    since = state.started_at
    if state.leader_contact_at is not None:
        since = max(since, state.leader_contact_at)
    return (
        synced
        and 0 < token >= state.token
        and now - since >= timing.promise_duration + timing.clock_slack
    )


def may_renew_leases(
    state: RenewalState,
    views: Iterable[PeerRenewalView],
    synced: bool,
    now: timedelta,
    timing: RenewalTiming,
) -> bool:
    """Return whether to answer workers under the token that the last leader has shown us.

    Such answers renew leases and order stops, never starts.
    """
    if not timing.allows_renewal or not state.token:
        return False
    if not may_vote(state, state.token, synced, now, timing):
        return False
    votes = 0
    for view in views:
        if not view.keeps_list(now, timing):
            return False
        if view.vote_token == state.token and view.vote_until is not None:
            votes += now < view.vote_until
    return votes >= timing.majority - 1


def may_expire_leases(
    token: int,
    began: timedelta,
    views: Iterable[PeerRenewalView],
    now: timedelta,
    timing: RenewalTiming,
) -> bool:
    """Return whether a leader may treat the leases of workers that it does not hear as expired.

    Guards ``ran_twice``: no other controller can have renewed one in the last ``lease_expiry``.
    ``began`` is the start of the term.  Nobody knew its token before, so only what came after that
    counts.
    """
    promises = 0
    for view in views:
        if view.promised_until is None or now >= view.promised_until:
            continue
        last_renewal = began - timing.lease_expiry
        if view.started_at is not None and view.started_at > began:
            # It does not know what its previous process voted for.
            last_renewal = view.started_at + timing.vote_duration + timing.clock_slack
        if view.committed_token >= token and view.committed_until is not None:
            last_renewal = max(last_renewal, view.committed_until)
        promises += now - last_renewal > timing.lease_expiry
    return promises >= timing.majority - 1


def stop_commands(heartbeat: Heartbeat, cancelled: Container[str]) -> list[Command]:
    """Return stop commands for the tasks of cancelled jobs that a worker reports.

    For controllers that answer a worker without having read the records of the jobs.
    """
    commands: list[Command] = []
    for task in heartbeat.tasks:
        job_id, _, _ = task.task.rpartition("/")
        if job_id in cancelled and task.state != TaskState.EXITED.value:
            commands.append(Command(CommandKind.STOP, task.task, task.attempt, 0.0))
    return commands


def cancellations_known_until(
    views: Iterable[PeerRenewalView], now: timedelta, timing: RenewalTiming
) -> timedelta | None:
    """Return up to which instant a synced controller knows of every confirmed cancellation.

    It must have merged all lists that it was sent.  None if there is no such instant.
    """
    asked_at: list[timedelta] = []
    for view in views:
        if not view.keeps_list(now, timing):
            return None
        if view.synced_list_asked_at is not None:
            asked_at.append(view.synced_list_asked_at)
    asked_at.sort(reverse=True)
    needed = timing.majority - 1
    return asked_at[needed - 1] if 0 < needed <= len(asked_at) else None


def cancellations_listed_until(
    views: Iterable[PeerRenewalView], informed: timedelta | None
) -> timedelta | None:
    """Return up to which instant a leader knows of every cancellation from lists of any kind.

    It must have merged all lists that it was sent, synced or not.  None if there is no such
    instant.  ``informed`` is up to when the records that it has read say so.

    Guards against a leader without authority where all controllers have just started, so that
    running tasks would end with their leases: what the previous process of a peer
    confirmed is on no list, but was recorded before the current process started, so the leader has
    read it if that was before ``informed``.
    """
    asked_at: list[timedelta] = []
    for view in views:
        if informed is None or view.list_asked_at is None:
            return None
        if view.started_at is None or view.started_at > informed:
            return None
        asked_at.append(view.list_asked_at)
    return min(asked_at, default=None)
