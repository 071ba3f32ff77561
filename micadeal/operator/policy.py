"""Operators' settings as values.  The defaults are in force without a script."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class TeamPolicy:
    """Settings for one team."""

    #: Part of the fair share, relative to other teams.
    weight: float = 1.0
    #: At most this many jobs of the team run at once; None: no limit.
    running_jobs: int | None = None
    #: Overrides ``Policy.minimum_timeout`` for the team.
    minimum_timeout: timedelta | None = None
    #: ``"priority"`` (then submit time) or ``"submitted"`` (submit time alone).
    order: str = "priority"


@dataclass(frozen=True, slots=True)
class Flexible:
    """Settings for a class of jobs whose start may be deferred (docs/timing.md)."""

    #: How much of the time between the first and the latest safe start may be used, 0 to 1.
    slack: float = 0.8
    #: Weights of a unit of price and of a unit of carbon, per kWh.
    money: float = 1.0
    carbon: float = 0.0


#: A team that has its fair share waits this many times longer for a reservation, and so does a job
#: for its turn by age.
FAIR_SHARE_WAIT_FACTOR = 2.5


@dataclass(frozen=True, slots=True)
class Policy:
    """Settings of the scheduler that operators may change while it runs."""

    #: How often shares are computed and starvation is checked (design: 2 s).
    refresh: timedelta = timedelta(seconds=2)
    #: Below its minimum for this long, a team may preempt tasks of others (design: 15 s).
    minimum_timeout: timedelta = timedelta(seconds=15)
    #: The same for half its fair share (design: starts at 30 s).
    share_timeout: timedelta = timedelta(seconds=30)
    #: After this wait, machines are reserved for a job of which nothing has begun.
    gather_after: timedelta = timedelta(seconds=45)
    #: By team; teams that are not named have the defaults.
    teams: dict[str, TeamPolicy] = field(default_factory=dict)
    #: By class of jobs; no other class is ever deferred.
    flexible: dict[str, Flexible] = field(default_factory=dict)

    @property
    def gather_late(self) -> timedelta:
        """``gather_after`` for a job whose team has its fair share."""
        return self.gather_after * FAIR_SHARE_WAIT_FACTOR

    def team(self, name: str) -> TeamPolicy:
        """Return the settings for a team, the defaults if there are none."""
        return self.teams.get(name, _DEFAULT)


_DEFAULT = TeamPolicy()
