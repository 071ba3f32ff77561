"""Who may keep workers' leases alive while nobody can lead, and what that forbids others.  Pure.

A worker takes an answer with the token that it knows from any controller.  So a follower that was
told the present token can *stand in* for a leader that is gone while the state service is away.
Two things must never happen beside it: the leader, which may only be out of its reach, counts a
lease as over that the follower has renewed (``ran_twice``); and a user is told "cancelled" by a
controller whose word the follower has not got (``ran_cancelled``).

Both are excluded by majorities, of which any two share a controller (docs/safety.md):

- a follower stands in only with the *consent* of so many others that it makes a majority with
  them;
- a leader counts a lease as over only with the *word* of so many others, that they neither stand in
  nor consent, that it makes a majority with them.  Whoever answers a leader's ping gives that word
  for ``abstain`` from then on, and consents to nothing so long;
- "cancelled" is told only once a majority, the teller among it, has the job on its list of
  cancellations; whoever stands in stops what is on its own list and on those of the consenting.

Instants are steady time of the controller that reasons; what another one says is dated by the
question that it answers, so nothing that was held by the network is taken for news.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from micadeal.clock import DRIFT, seconds
from micadeal.wire.workers import Command, CommandKind, Heartbeat, TaskState

#: How long the word given with an answer to a leader's ping holds.  Leaders ping every second.
ABSTAIN = seconds(4)
#: How long a consent holds: a controller that crashes is back and may consent anew meanwhile.
CONSENT = seconds(12)
#: For the drift of two clocks over such spans.
SLACK = seconds(0.1)


@dataclass(frozen=True, slots=True)
class RenewalTiming:
    #: After a silence of this length a worker's lease has certainly run out.
    lease_expiry: timedelta
    #: A task must be gone so long after its user was told "cancelled".
    cancel: timedelta
    #: How many controllers there are.
    size: int
    abstain: timedelta = ABSTAIN
    consent: timedelta = CONSENT
    slack: timedelta = SLACK

    @property
    def majority(self) -> int:
        return self.size // 2 + 1

    @property
    def possible(self) -> bool:
        """Whether standing in can be safe and of use here: a cancellation that a consenting
        controller learned of reaches the one that stands in before its consent is over, or the
        workers' leases have run out in time; and there is a majority without the leader."""
        return self.size >= 3 and self.consent + self.lease_expiry <= self.cancel

    @property
    def settled(self) -> timedelta:
        """After this nothing told before is of any concern: the tasks have to be gone."""
        return self.cancel * (1 + 2 * DRIFT) + self.slack


@dataclass(frozen=True, slots=True)
class RenewalState:
    """What a controller remembers of itself.  A restart forgets it: ``born`` stands for that."""

    born: timedelta
    #: Highest token whose leader has spoken to us, and when it last did.
    token: int = 0
    led: timedelta | None = None
    #: The last token under which we stood in or consented, and until when that holds.
    bound_token: int = 0
    bound_until: timedelta | None = None

    def hear_leader(self, token: int, now: timedelta) -> RenewalState:
        """The leader of a term has spoken: we keep quiet for it from now on."""
        if token < self.token:
            return self
        return replace(self, token=token, led=now)

    def bind(self, token: int, until: timedelta) -> RenewalState:
        if token < self.bound_token:
            return self
        if token == self.bound_token and self.bound_until is not None:
            until = max(until, self.bound_until)
        return replace(self, bound_token=token, bound_until=until)


@dataclass(frozen=True, slots=True)
class RenewalPromise:
    """What a controller says of itself in answer to a ping; spans count from the answer."""

    age: timedelta
    #: Its list of cancellations lacks nothing that its earlier process may have known.
    synced: bool
    #: The token of the consent given with this answer; 0: none.
    consent: int = 0
    bound_token: int = 0
    #: How long it is still bound; negative: so long it has not been.
    bound: timedelta = timedelta(0)
    #: It came with its list of cancellations.
    told: bool = False


@dataclass(frozen=True, slots=True)
class PeerRenewalView:
    """What we know of one other controller."""

    #: When we asked what it answered last; None: it never did, or by a version without words.
    asked: timedelta | None = None
    #: Since when all its answers came with words.
    speaks_since: timedelta | None = None
    #: Until when it neither stands in nor consents, as it has promised us.
    quiet_until: timedelta | None = None
    #: The latest instant at which its present process can have been started.
    born: timedelta | None = None
    consent: int = 0
    consent_until: timedelta | None = None
    bound_token: int = 0
    bound_until: timedelta | None = None
    #: When we asked for the last list of cancellations that it gave us while it was synced.
    told: timedelta | None = None
    #: The same for the last list at all: it lacks at most what an earlier process of its told.
    listed: timedelta | None = None

    def hear(
        self,
        word: RenewalPromise | None,
        asked: timedelta,
        now: timedelta,
        token: int,
        timing: RenewalTiming,
    ) -> PeerRenewalView:
        """Its answer to our ping; ``token`` is that of the term we led when we asked, else 0."""
        if self.asked is not None and asked < self.asked:
            return self
        quiet = asked + timing.abstain - timing.slack if token else self.quiet_until
        if word is None:
            # The version before: it never stands in, consents or counts lists.
            return PeerRenewalView(asked=asked, quiet_until=quiet)
        # A consent says nothing without the list that goes with it.
        consent = word.consent if word.told else 0
        born = now - word.age
        # A process speaks with words from its start on or never: who was started a moment ago
        # itself need not hear an old one for long to know that.
        since = min(asked, born) if self.speaks_since is None else self.speaks_since
        return PeerRenewalView(
            asked=asked,
            speaks_since=since,
            quiet_until=quiet,
            born=born,
            consent=consent,
            consent_until=asked + timing.consent - timing.slack if consent else None,
            bound_token=word.bound_token,
            bound_until=now + word.bound if word.bound_token else None,
            told=asked if word.told and word.synced else self.told,
            listed=asked if word.told else self.listed,
        )

    def keeps_list(self, now: timedelta, timing: RenewalTiming) -> bool:
        """Whether it has kept a list of cancellations for so long that nothing told by a version
        without lists, which tells "cancelled" by itself, is of any concern."""
        return self.speaks_since is not None and now - self.speaks_since >= timing.settled


def synced(
    memory: RenewalState, views: Iterable[PeerRenewalView], now: timedelta, timing: RenewalTiming
) -> bool:
    """Whether our list of cancellations lacks nothing: what an earlier process of ours had on it
    is over by now, or was given to us by *all* others, whose lists lack nothing."""
    if now - memory.born >= timing.settled:
        return True
    return all(view.told is not None and view.told >= memory.born for view in views)


def may_consent(
    memory: RenewalState, token: int, synced: bool, now: timedelta, timing: RenewalTiming
) -> bool:
    """Whether another controller may be allowed to stand in under ``token``.

    Not while our word to that leader, or one that an earlier process of ours gave, still holds.
    """
    since = memory.born if memory.led is None else max(memory.born, memory.led)
    return synced and 0 < token >= memory.token and now - since >= timing.abstain + timing.slack


def may_renew_leases(
    memory: RenewalState,
    views: Iterable[PeerRenewalView],
    synced: bool,
    now: timedelta,
    timing: RenewalTiming,
) -> bool:
    """Whether to answer workers under the token that we were told, with no starts."""
    if not timing.possible or not memory.token:
        return False
    if not may_consent(memory, memory.token, synced, now, timing):
        return False
    consents = 0
    for view in views:
        if not view.keeps_list(now, timing):
            return False
        if view.consent == memory.token and view.consent_until is not None:
            consents += now < view.consent_until
    return consents >= timing.majority - 1


def may_expire_leases(
    token: int,
    began: timedelta,
    views: Iterable[PeerRenewalView],
    now: timedelta,
    timing: RenewalTiming,
) -> bool:
    """Whether a leader may take the leases of workers that are silent to it for run out: nobody
    else can have renewed one in the last ``lease_expiry``.

    A term's token is unknown to all before it began, so only what came after that counts.
    """
    words = 0
    for view in views:
        if view.quiet_until is None or now >= view.quiet_until:
            continue
        bound = began - timing.lease_expiry
        if view.born is not None and view.born > began:
            # What its earlier process consented to it does not know.
            bound = view.born + timing.consent + timing.slack
        if view.bound_token >= token and view.bound_until is not None:
            bound = max(bound, view.bound_until)
        words += now - bound > timing.lease_expiry
    return words >= timing.majority - 1


def stop_commands(heartbeat: Heartbeat, cancelled: Container[str]) -> list[Command]:
    """What to stop of what a worker shows, by whoever answers it without a picture of the jobs."""
    commands: list[Command] = []
    for task in heartbeat.tasks:
        job_id, _, _ = task.task.rpartition("/")
        if job_id in cancelled and task.state != TaskState.EXITED.value:
            commands.append(Command(CommandKind.STOP, task.task, task.attempt, 0.0))
    return commands


def cancellations_known_until(
    views: Iterable[PeerRenewalView], now: timedelta, timing: RenewalTiming
) -> timedelta | None:
    """Up to which instant a controller, itself synced, knows of every cancellation told, if it has
    taken in all lists that it was given; None if it can't say."""
    told: list[timedelta] = []
    for view in views:
        if not view.keeps_list(now, timing):
            return None
        if view.told is not None:
            told.append(view.told)
    told.sort(reverse=True)
    others = timing.majority - 1
    return told[others - 1] if 0 < others <= len(told) else None


def cancellations_listed_until(
    views: Iterable[PeerRenewalView], informed: timedelta | None
) -> timedelta | None:
    """Up to which instant a leader knows of every cancellation told, if it has taken in all lists
    that it was given, whole or not; None if it can't say.

    ``informed``: up to then the records said so.  Guards work where all controllers were started a
    moment ago: what an earlier process of another has told is in no list, but was recorded before
    the present one was started, so the leader has read it if that was before ``informed``.
    """
    listed: list[timedelta] = []
    for view in views:
        if informed is None or view.listed is None or view.born is None or view.born > informed:
            return None
        listed.append(view.listed)
    return min(listed, default=None)
