"""Operators' own settings, as values.  Defaults serve with no script."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class TeamPolicy:
    weight: float = 1.0
    #: At most so many jobs of the team run at once; None: no limit.
    running_jobs: int | None = None
    minimum_timeout: timedelta | None = None
    #: "priority" (then submit time) or "submitted" (submit time alone).
    order: str = "priority"


@dataclass(frozen=True, slots=True)
class Flexible:
    """A class of work that may be held for a cheaper or cleaner hour (docs/timing.md)."""

    #: How much of the time between the first and the latest safe start may be used, 0 to 1.
    slack: float = 0.8
    #: What a unit of price and a unit of carbon count, per kWh.
    money: float = 1.0
    carbon: float = 0.0


#: A team that has its fair share waits so many times longer for room to be gathered, and so does a
#: job for its turn by age.
CONTENT_TIMES = 2.5


@dataclass(frozen=True, slots=True)
class Policy:
    #: How often shares are computed and starvation is looked at (design: 2 s).
    refresh: timedelta = timedelta(seconds=2)
    #: Below its minimum for this long, a team may have tasks of others killed (design: 15 s).
    minimum_timeout: timedelta = timedelta(seconds=15)
    #: The same for half its fair share (design: starts at 30 s).
    share_timeout: timedelta = timedelta(seconds=30)
    #: A job that has waited this long with nothing begun has room gathered for it.
    gather_after: timedelta = timedelta(seconds=45)
    teams: dict[str, TeamPolicy] = field(default_factory=dict)
    #: By class of jobs; nothing else is ever held.
    flexible: dict[str, Flexible] = field(default_factory=dict)

    @property
    def gather_late(self) -> timedelta:
        return self.gather_after * CONTENT_TIMES

    def team(self, name: str) -> TeamPolicy:
        return self.teams.get(name, _DEFAULT)


_DEFAULT = TeamPolicy()
