"""Messages between controllers, and the leader's answers to operators.

Controllers send them to one another with ``POST`` to ``/ping``, ``/relay``, ``/notice``, ``/why``
and ``/overview``.  Ages are durations before the answer was sent, so that clocks need not agree.
A default applies if the sender's version does not know the field.
"""

from __future__ import annotations

from typing import Any

import msgspec

from micadeal.wire.workers import Heartbeat

# -- pings -------------------------------------------------------------------------------------


class Process(msgspec.Struct):
    """The current process of the sender of a ``Ping`` or ``Pong``, and its feature levels."""

    #: Random; distinguishes successive processes of a controller.
    id: str
    build: str
    #: Lowest and highest feature level that it can read and serve.
    lowest: int
    highest: int
    age_ms: float
    #: The feature level at which it writes and acts.
    level: int


class Ping(msgspec.Struct, rename={"wants_cancellations": "wants_told"}):
    """Sent by every controller to every other about once a second (``/ping``)."""

    #: Name of the sender.
    controller: str
    #: Asks a leader for ``Pong.counts`` and ``Pong.all_started``.
    wants_counts: bool = False
    #: Fencing token of the term that the sender leads; 0: it does not lead, or its version has no
    #: follower leases.
    leading_token: int = 0
    #: Asks for consent to renew leases in place of the leader of the term with this token; 0: no.
    wants_consent: int = 0
    #: Asks for the list of cancellations (``RenewalPromise.cancellations``).
    wants_cancellations: bool = False
    #: None: the sender's version has no feature levels.
    process: Process | None = None
    #: The sender leads but has not read the records yet; until then it answers few workers.
    reading: bool = False


class RenewalPromise(msgspec.Struct, rename={"cancellations": "told"}):
    """A controller's renewal promise or its consent, in a ``Pong`` (leadership/follower_leases.py).

    With the consent of a majority, a follower may renew workers' leases in place of the leader.
    With the renewal promises of a majority, a leader may treat a lease as expired.
    """

    #: Age of its process, which remembers nothing from before its start.
    age_ms: float
    #: Whether its list of cancellations is known to be complete.
    synced: bool
    #: The token that it consents to with this answer; 0: none.
    consent: int = 0
    #: The last token under which it renewed leases or to which it consented, and the remaining time
    #: for which this binds it; negative: the time since this ended.
    bound_token: int = 0
    bound_ms: float = 0.0
    #: Jobs whose cancellation was confirmed to users, or is about to be, and how many milliseconds
    #: ago it learned of each; None: not requested.
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
    #: Time since its last answer from the state service; None: never.
    state_age_ms: float | None
    leading: bool
    #: Time since it last confirmed, or may have confirmed, a cancellation to a user.  At most the
    #: age of its process, since it can't know what its earlier process confirmed.
    cancel_age_ms: float = 0.0
    #: The controller that it believes to be the leader.
    leader: str | None = None
    #: From a leader: progress of its jobs.
    counts: list[Counts] = []
    #: Controllers that answered it recently, to which it can relay heartbeats.
    reaches: list[str] = []
    #: From a leader: all jobs that depend on a job cancelled longer ago than this are recorded as
    #: cancelled.  None: it does not know, or its version has no dependencies.
    cascade_age_ms: float | None = None
    #: None: its version has no follower leases, or they are switched off.
    renewal_promise: RenewalPromise | None = None
    #: None: its version has no feature levels.
    process: Process | None = None
    #: From a leader: jobs whose unfinished tasks are all running.
    all_started: list[str] = []
    #: Cancelled jobs that could not be confirmed immediately, and for how many milliseconds enough
    #: controllers have certainly known of each.  Unset: there are none, or the sender's version
    #: does not report them.
    cancellation_ages: dict[str, float] | msgspec.UnsetType = msgspec.UNSET


# -- cancellations, and relayed heartbeats -----------------------------------------------------


class CancellationNotice(msgspec.Struct):
    """Informs another controller that a job is cancelled (``/notice``).

    The answer is a boolean, and promises that the receiver has added the job to its list of
    cancellations.  False: the receiver leads, and a task of the job may still start.

    Sent to the leader's ``/why``, the same message asks why the job waits.  The answer is a
    ``WhyAnswer``, or nil if the leader knows no such job that waits or runs.  Earlier versions send
    an empty body instead of nil, which says nothing about the job.
    """

    job_id: str


class Relay(msgspec.Struct, rename={"heartbeat": "report"}):
    """A worker's heartbeat that is relayed to the leader, through a third controller if needed."""

    heartbeat: Heartbeat
    #: How many more times it may be relayed.
    hops: int


class Relayed(msgspec.Struct):
    """The answer to a ``Relay``: status and decoded body of the answer to the worker."""

    status: int
    body: Any = None


# -- the leader's answers to operators ---------------------------------------------------------


class WhyLine(msgspec.Struct):
    """One reason in a ``WhyAnswer``."""

    #: Plain text.
    reason: str
    #: Number of tasks to which it applies; 0: it applies to the job.
    tasks: int


class WhyAnswer(msgspec.Struct, omit_defaults=True):
    """The leader's answer to ``/why``: why a job waits.

    ``done``, ``running``, ``starting`` and ``waiting`` are numbers of its tasks.
    """

    job_id: str
    #: ``running`` or ``pending``.
    status: str
    team: str = ""
    done: int = 0
    running: int = 0
    starting: int = 0
    waiting: int = 0
    #: Time since the job's submission.
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
    #: The current fair share.
    share: float
    demand: float
    waiting_jobs: int
    running_jobs: int


class StuckJob(msgspec.Struct):
    """A job in an ``Overview`` that starts no task or fails repeatedly."""

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
    #: Numbers of machines: in use or ready, not booted yet, up without a recent heartbeat, about
    #: to be returned or reclaimed.
    up: int
    booting: int
    unresponsive: int
    draining: int
    #: Accelerators in use by tasks, and in total, on all machines that have booted.
    gpus_used: float
    gpus: float


class MemberLine(msgspec.Struct):
    """One controller as the leader sees it, in a ``LevelLine``."""

    name: str
    #: Plain text: whether it responds, and the reason if it serves no requests.
    presence: str
    build: str
    #: Lowest and highest feature level that it knows.
    lowest: int
    highest: int


class LevelLine(msgspec.Struct):
    """The feature level in force in an ``Overview``; see ``LevelRecord``."""

    level: int
    writes: int
    oldest: int
    #: Time that the level has been in force, and the controller that set it.
    since_s: float
    by: str
    members: list[MemberLine]
    #: Conditions for which the next level change waits, in plain text.
    waits: list[str]


class Overview(msgspec.Struct):
    """The leader's answer to ``/overview``: the state of the cluster at a glance."""

    #: Name of the leader, its fencing token, and the time that it has led.
    leader: str
    token: int
    leading_s: float
    #: Whether the state service has answered it recently.
    state_contact: bool
    teams: list[TeamLine]
    #: Numbers of jobs by state.
    jobs: dict[str, int]
    #: The jobs that have been stuck for the longest time.
    stuck: list[StuckJob]
    machines: list[MachineLine]
    #: Notes for operators, in plain text.
    notes: list[str]
    #: Number of all stuck jobs.
    stuck_in_all: int = 0
    #: None: the leader's version has no feature levels.
    level: LevelLine | None = None
