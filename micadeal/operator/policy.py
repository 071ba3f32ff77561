"""Operators' settings as values.  Without a script the defaults apply."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class TeamPolicy:
    """Settings for one team."""

    #: Weight of the team in the fair shares, relative to other teams.
    weight: float = 1.0
    #: Most jobs of the team that may run at the same time; None: no limit.
    running_jobs: int | None = None
    #: Overrides ``Policy.minimum_timeout`` for the team.
    minimum_timeout: timedelta | None = None
    #: Order of the team's jobs: ``"priority"`` (then submission time) or ``"submitted"``
    #: (submission time alone).
    order: str = "priority"


@dataclass(frozen=True, slots=True)
class Flexible:
    """Settings for a class of jobs whose start may be deferred (docs/timing.md)."""

    #: Share of the time between the earliest and the latest safe start that may be used, 0 to 1.
    slack: float = 0.8
    #: Weights of one unit of price and of one unit of carbon, per kWh.
    money: float = 1.0
    carbon: float = 0.0


#: Multiplies ``Policy.reserve_after`` in two cases: until machines are reserved for a job whose
#: team has its fair share, and until a job is placed ahead of its team's order because of its age.
FAIR_SHARE_WAIT_FACTOR = 2.5


@dataclass(frozen=True, slots=True)
class Policy:
    """Settings of the scheduler that operators may change while it runs."""

    #: Interval at which shares are computed and starvation is checked (design: 2 s).
    refresh: timedelta = timedelta(seconds=2)
    #: A team below its guarantee for this long may preempt tasks of others (design: 15 s).
    minimum_timeout: timedelta = timedelta(seconds=15)
    #: A team below half its fair share for this long may preempt, too (design: starts at 30 s).
    share_timeout: timedelta = timedelta(seconds=30)
    #: After this wait, machines are reserved for a job none of whose tasks has started.
    reserve_after: timedelta = timedelta(seconds=45)
    #: By team; teams that are not named have the defaults.
    teams: dict[str, TeamPolicy] = field(default_factory=dict)
    #: By class of jobs; jobs of other classes are never deferred.
    flexible: dict[str, Flexible] = field(default_factory=dict)

    @property
    def reserve_after_at_fair_share(self) -> timedelta:
        """``reserve_after`` for jobs of a team that has its fair share."""
        return self.reserve_after * FAIR_SHARE_WAIT_FACTOR

    def team(self, name: str) -> TeamPolicy:
        """Return the settings for a team, the defaults if there are none."""
        return self.teams.get(name, _DEFAULT_TEAM_POLICY)


_DEFAULT_TEAM_POLICY = TeamPolicy()
