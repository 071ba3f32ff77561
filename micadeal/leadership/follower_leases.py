"""Rules by which followers renew workers' leases while no leader can act.

A worker accepts a response with the token that it knows from any controller.  So a follower that
knows the current token can renew leases in place of a failed leader while the state service is
unreachable.  Two errors must be excluded:

- The leader is alive but unreachable from the follower, and treats a lease as expired that the
  follower has renewed (``ran_twice``).
- A controller confirms to a user a cancellation that the follower does not know
  (``ran_cancelled``).

Majorities exclude both, because any two majorities share a controller (docs/safety.md):

- A follower renews leases only with *votes* from enough peers to form a majority with it.
- A leader treats a lease as expired only with *renewal promises* from enough peers to form a
  majority with it.  A controller that answers a leader's ping promises neither to renew leases nor
  to vote for the next ``promise_duration``.
- A cancellation is confirmed to a user only once a majority, including the controller that confirms
  it, has the job on its cancellation list.  A follower that renews leases stops the tasks of the
  jobs on its own list and on the lists of its voters.

Messages between controllers call a vote ``consent`` (wire/peers.py).

No I/O; the caller passes the time.  Instants are monotonic time of the controller that decides.  A
peer's answer is dated by the time at which the ping was sent, so a response that the network
delayed does not count as recent.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from micadeal.clock import MAX_CLOCK_DRIFT, seconds
from micadeal.wire.workers import Command, CommandKind, Heartbeat, TaskState

#: How long the renewal promise in an answer to a leader's ping holds.  Leaders ping every second.
PROMISE_DURATION = seconds(4)
#: How long a vote holds.  A controller that crashes restarts within this time and can vote again.
VOTE_DURATION = seconds(12)
#: Allowance for the drift between two clocks over these durations.
CLOCK_SLACK = seconds(0.1)
#: Smallest cluster that has a majority without the leader.
MIN_CLUSTER_SIZE = 3


@dataclass(frozen=True, slots=True)
class RenewalTiming:
    """The durations and the cluster size that the rules depend on."""

    #: Time without a heartbeat after which a worker's lease has certainly expired.
    lease_expiry: timedelta
    #: A task must end within this time after the cancellation of its job was confirmed.
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

        There must be a majority without the leader.  A vote and then a worker's lease must expire
        within the cancel timeout: a follower that does not learn of a cancellation from its voter
        stops renewing leases when the vote expires, and the job's tasks end with their leases.
        """
        return (
            self.cluster_size >= MIN_CLUSTER_SIZE
            and self.vote_duration + self.lease_expiry <= self.cancel_timeout
        )

    @property
    def cancellation_retention(self) -> timedelta:
        """How long a cancellation must be remembered; by then the job's tasks must have ended."""
        return self.cancel_timeout * (1 + 2 * MAX_CLOCK_DRIFT) + self.clock_slack


@dataclass(frozen=True, slots=True)
class RenewalState:
    """What a controller knows about itself; a restart loses it.

    ``started_at`` is the start of its process.
    """

    started_at: timedelta
    #: The highest token of a leader that contacted this controller, and when it last did.
    token: int = 0
    leader_contact_at: timedelta | None = None
    #: The last token under which this controller renewed leases or voted, and until when this
    #: commitment holds.
    committed_token: int = 0
    committed_until: timedelta | None = None

    def with_leader_contact(self, token: int, now: timedelta) -> RenewalState:
        """Return the state after the leader of the term ``token`` has contacted this controller.

        The contact starts a renewal promise to that leader.  A past term changes nothing.
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
    """A peer's report on itself in its answer to a ping; durations are relative to the answer."""

    age: timedelta
    #: Its cancellation list includes everything that its previous process may have known.
    synced: bool
    #: The token of the vote given with this answer; 0: none.
    vote_token: int = 0
    committed_token: int = 0
    #: Remaining time of the commitment; negative: time since its end.
    committed_for: timedelta = timedelta(0)
    #: The answer includes the peer's cancellation list.
    has_list: bool = False


@dataclass(frozen=True, slots=True)
class PeerRenewalView:
    """What this controller knows about one peer."""

    #: When the last ping that it answered was sent; None: it never answered.
    asked_at: timedelta | None = None
    #: Since when all its answers include a report; None: its version sends none.
    reports_since: timedelta | None = None
    #: Until when it has promised neither to renew leases nor to vote.
    promised_until: timedelta | None = None
    #: The latest instant at which its current process can have started.
    started_at: timedelta | None = None
    vote_token: int = 0
    vote_until: timedelta | None = None
    committed_token: int = 0
    committed_until: timedelta | None = None
    #: When the last cancellation list that it sent while it was synced was requested.
    synced_list_asked_at: timedelta | None = None
    #: When its last list, synced or not, was requested.  The list may lack what its previous
    #: process knew.
    list_asked_at: timedelta | None = None

    def with_answer(
        self,
        report: PeerReport | None,
        asked_at: timedelta,
        now: timedelta,
        token: int,
        timing: RenewalTiming,
    ) -> PeerRenewalView:
        """Return the view after the peer's answer to a ping that was sent at ``asked_at``.

        ``token`` is that of the term that this controller led when it sent the ping, else 0.
        ``report`` is None if the peer's version sends none, or if renewal by followers is disabled
        there.
        """
        if self.asked_at is not None and asked_at < self.asked_at:
            return self
        promised_until = self.promised_until
        if token:
            promised_until = asked_at + timing.promise_duration - timing.clock_slack
        if report is None:
            # An earlier version: it never renews leases, votes or keeps a list.
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
        # A vote counts only together with the voter's cancellation list.
        vote_token = report.vote_token if report.has_list else 0
        started_at = now - report.age
        # A process sends reports either from its start or never.  So a controller that has itself
        # just started can date the reports back to the start of the peer's process.
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
        """Return whether the peer has kept a cancellation list for the whole retention time.

        A peer whose version has no lists confirms cancellations without a majority; all of these
        must be too old to matter.
        """
        return (
            self.reports_since is not None
            and now - self.reports_since >= timing.cancellation_retention
        )


def is_synced(
    state: RenewalState, views: Iterable[PeerRenewalView], now: timedelta, timing: RenewalTiming
) -> bool:
    """Return whether this controller's cancellation list is complete.

    Either the list of its previous process is too old to matter, or *all* peers have sent their own
    complete lists since this process started.
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
    """Return whether this controller may vote for a peer that renews leases under ``token``.

    Guards ``ran_twice``: no vote while a renewal promise to a leader holds, including one that the
    previous process may have given just before ``started_at``.
    """
    promised_at = state.started_at
    if state.leader_contact_at is not None:
        promised_at = max(promised_at, state.leader_contact_at)
    return (
        synced
        and 0 < token >= state.token
        and now - promised_at >= timing.promise_duration + timing.clock_slack
    )


def may_renew_leases(
    state: RenewalState,
    views: Iterable[PeerRenewalView],
    synced: bool,
    now: timedelta,
    timing: RenewalTiming,
) -> bool:
    """Return whether this follower may answer workers under the last leader's token.

    Such answers renew leases and send stop commands, never start commands.
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
    term_started_at: timedelta,
    views: Iterable[PeerRenewalView],
    now: timedelta,
    timing: RenewalTiming,
) -> bool:
    """Return whether a leader may treat the leases of silent workers as expired.

    Guards ``ran_twice``: no other controller can have renewed one in the last ``lease_expiry``.
    No controller knew the term's token before ``term_started_at``, so only later renewals count.
    """
    promises = 0
    for view in views:
        if view.promised_until is None or now >= view.promised_until:
            continue
        last_renewal = term_started_at - timing.lease_expiry
        if view.started_at is not None and view.started_at > term_started_at:
            # The peer does not know what its previous process voted for: assume the longest vote.
            last_renewal = view.started_at + timing.vote_duration + timing.clock_slack
        if view.committed_token >= token and view.committed_until is not None:
            last_renewal = max(last_renewal, view.committed_until)
        promises += now - last_renewal > timing.lease_expiry
    return promises >= timing.majority - 1


def stop_commands(heartbeat: Heartbeat, cancelled: Container[str]) -> list[Command]:
    """Return stop commands for the tasks of cancelled jobs that a worker reports.

    Used by controllers that answer a worker without having read the job records.
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
    """Return the instant up to which a synced controller knows every confirmed cancellation.

    It must have merged all lists that it has received.  None if there is no such instant.
    """
    lists_asked_at: list[timedelta] = []
    for view in views:
        if not view.keeps_list(now, timing):
            return None
        if view.synced_list_asked_at is not None:
            lists_asked_at.append(view.synced_list_asked_at)
    lists_asked_at.sort(reverse=True)
    needed = timing.majority - 1
    return lists_asked_at[needed - 1] if 0 < needed <= len(lists_asked_at) else None


def cancellations_listed_until(
    views: Iterable[PeerRenewalView], cancellations_read_until: timedelta | None
) -> timedelta | None:
    """Return the instant up to which a leader knows every cancellation from lists of any kind.

    It must have merged all lists that it has received, synced or not.  None if there is no such
    instant.  ``cancellations_read_until`` is that of its ``Term``.

    Guards against a leader without authority after all controllers have just started, in which case
    running tasks would end with their leases.  Cancellations that a peer's previous process
    confirmed are on no list, but they were recorded before its current process started.  If that
    was before ``cancellations_read_until``, the leader has read them.
    """
    lists_asked_at: list[timedelta] = []
    for view in views:
        if cancellations_read_until is None or view.list_asked_at is None:
            return None
        if view.started_at is None or view.started_at > cancellations_read_until:
            return None
        lists_asked_at.append(view.list_asked_at)
    return min(lists_asked_at, default=None)
