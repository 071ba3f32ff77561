"""Messages between controllers, and what the leader answers to operators.

Controllers send them to one another with ``POST`` to ``/ping``, ``/relay``, ``/notice``, ``/why``
and ``/overview``.  Ages are durations before the answer was given, so that no clocks need to agree.
A default stands for a sender of a version that does not know the field.
"""

from __future__ import annotations

from typing import Any

import msgspec

from micadeal.wire.workers import Heartbeat

# -- pings -------------------------------------------------------------------------------------


class Process(msgspec.Struct):
    """The present process of the sender of a ``Ping`` or ``Pong``, and the levels it knows."""

    #: Random: it tells one run of a controller from the next.
    id: str
    build: str
    #: The feature levels that it can read and serve, from and to.
    lowest: int
    highest: int
    age_ms: float
    #: The feature level that it writes and acts by.
    level: int


class Ping(msgspec.Struct, rename={"wants_cancellations": "wants_told"}):
    """What every controller asks every other about once a second (``/ping``)."""

    #: Name of the sender.
    controller: str
    #: Asks a leader for ``Pong.counts`` and ``Pong.all_started``.
    wants_counts: bool = False
    #: Fencing token of the term that the sender leads; 0: it does not lead, or is of a version in
    #: which no follower renews leases for a leader.
    leading_token: int = 0
    #: Asks for consent to renew leases in place of the leader of this term; 0: no.
    wants_consent: int = 0
    #: Asks for the list of cancellations (``RenewalPromise.cancellations``).
    wants_cancellations: bool = False
    #: None: the sender is of a version that knows of no feature levels.
    process: Process | None = None
    #: The sender leads, has not read its records yet, and answers few workers until then.
    reading: bool = False


class RenewalPromise(msgspec.Struct, rename={"cancellations": "told"}):
    """What a controller promises in a ``Pong`` on renewing leases (leadership/follower_leases.py).

    With it the receiver may count on a majority: to renew workers' leases in place of the leader,
    or, as leader, to take a lease for expired.
    """

    #: Age of its process, which has forgotten everything before.
    age_ms: float
    #: Whether its list of cancellations is known to be complete.
    synced: bool
    #: The token that it consents to with this answer; 0: none.
    consent: int = 0
    #: The last token that it renewed leases under or consented to, and how long that still binds
    #: it; negative: how long ago it ended.
    bound_token: int = 0
    bound_ms: float = 0.0
    #: Jobs of which users were told, or are about to be told, that they are cancelled, and how many
    #: milliseconds ago it learned of that; None: not asked.
    cancellations: dict[str, float] | None = None


class Counts(msgspec.Struct, array_like=True):
    """Finished and running tasks of one job in a ``Pong``, for display; an array on the wire."""

    job_id: str
    done: int
    running: int


class Pong(msgspec.Struct, rename={"renewal_promise": "word"}):
    """A controller's answer to a ``Ping``."""

    #: Name of the answering controller.
    controller: str
    #: How long ago it last had an answer of the state service; None: never.
    state_age_ms: float | None
    leading: bool
    #: How long ago it last told, or may have told, a user that a job is cancelled; counted from
    #: its start, since it can't know what its earlier process told.
    cancel_age_ms: float = 0.0
    #: The controller that it takes for the leader.
    leader: str | None = None
    #: From a leader: progress of its jobs.
    counts: list[Counts] = []
    #: The controllers that it has heard lately (for relaying).
    reaches: list[str] = []
    #: From a leader: all jobs that depend on one that was cancelled longer ago than this are
    #: recorded cancelled.  None: it can't tell, or is of a version without dependencies.
    cascade_age_ms: float | None = None
    #: None: it is of a version in which no follower renews leases, or that is switched off.
    renewal_promise: RenewalPromise | None = None
    #: None: it is of a version that knows of no feature levels.
    process: Process | None = None
    #: From a leader: jobs of which each task that is not done runs.
    all_started: list[str] = []
    #: Cancelled jobs that could not be confirmed at once, and for how many milliseconds enough
    #: controllers have certainly known of each.  Unset: there are none, or the sender is of a
    #: version that does not say.
    cancellation_ages: dict[str, float] | msgspec.UnsetType = msgspec.UNSET


# -- cancellations, and heartbeats passed on ---------------------------------------------------


class CancellationNotice(msgspec.Struct):
    """Tells another controller that a job is cancelled (``/notice``).

    The answer is a boolean, and promises that the receiver has put the job on its list of
    cancellations.  False: it leads, and a task of the job may still start.

    Sent to the leader's ``/why``, the same message asks why the job waits.  The answer is a
    ``WhyAnswer``, or nil if the leader knows of no such job that waits or runs.  Versions before
    answer an empty body instead, which tells nothing.
    """

    job_id: str


class Relay(msgspec.Struct, rename={"heartbeat": "report"}):
    """A worker's heartbeat on its way to the leader, over a third controller if need be."""

    heartbeat: Heartbeat
    #: How often it may still be passed on.
    hops: int


class Relayed(msgspec.Struct):
    """The answer to a ``Relay``: status and decoded body of the answer to the worker."""

    status: int
    body: Any = None


# -- what operators ask of the leader ----------------------------------------------------------


class WhyLine(msgspec.Struct):
    """One reason in a ``WhyAnswer``."""

    #: Plain text.
    reason: str
    #: Number of tasks that it holds for; 0: for the job.
    tasks: int


class WhyAnswer(msgspec.Struct, omit_defaults=True):
    """The leader's answer to ``/why``: why a job waits.  Numbers are of its tasks."""

    job_id: str
    #: ``running`` or ``pending``.
    status: str
    team: str = ""
    done: int = 0
    running: int = 0
    starting: int = 0
    waiting: int = 0
    #: Since the job's submission.
    waiting_s: float = 0.0
    reasons: list[WhyLine] = []


class TeamLine(msgspec.Struct):
    """One team and resource in an ``Overview``; amounts are in units of the resource."""

    name: str
    #: ``cpus`` or ``gpus``.
    resource: str
    used: float
    guarantee: float
    #: 0: none.
    limit: float
    #: The fair share at present.
    share: float
    demand: float
    waiting_jobs: int
    running_jobs: int


class StuckJob(msgspec.Struct):
    """A job in an ``Overview`` that starts nothing or fails again and again."""

    job_id: str
    team: str
    job_class: str
    waiting_s: float
    #: The first line of the answer to ``/why``.
    reason: str


class MachineLine(msgspec.Struct, rename={"draining": "leaving", "unresponsive": "silent"}):
    """The machines of one type, zone and kind in an ``Overview``."""

    machine_type: str
    zone: str
    spot: bool
    #: Numbers of machines: in use or ready, not booted yet, up without a heartbeat lately, about
    #: to be returned or taken.
    up: int
    booting: int
    unresponsive: int
    draining: int
    #: Accelerators that tasks take, and that there are, on all that have booted.
    gpus_used: float
    gpus: float


class MemberLine(msgspec.Struct):
    """One controller as the leader sees it, in a ``LevelLine``."""

    name: str
    #: Plain text: whether it is there, and why it serves nobody.
    presence: str
    build: str
    #: The feature levels that it knows, from and to.
    lowest: int
    highest: int


class LevelLine(msgspec.Struct):
    """The feature level in force in an ``Overview``; see ``LevelRecord``."""

    level: int
    writes: int
    oldest: int
    #: How long it has been in force, and who set it.
    since_s: float
    by: str
    members: list[MemberLine]
    #: What the next step waits for, in plain text.
    waits: list[str]


class Overview(msgspec.Struct):
    """The leader's answer to ``/overview``: the state of the cluster at a glance."""

    #: Name of the leader, its fencing token, and for how long it has led.
    leader: str
    token: int
    leading_s: float
    #: Whether the state service has answered it lately.
    state_contact: bool
    teams: list[TeamLine]
    #: Numbers of jobs by state.
    jobs: dict[str, int]
    #: The longest stuck jobs.
    stuck: list[StuckJob]
    machines: list[MachineLine]
    #: What operators should know, in plain text.
    notes: list[str]
    #: Number of all stuck jobs.
    stuck_in_all: int = 0
    #: None: the leader is of a version that knows of no feature levels.
    level: LevelLine | None = None
