"""The machine capacities of one scheduling cycle, with caches that keep the search cheap.

Free capacity only shrinks within a cycle.  Machines are therefore ranked once for a job, not for
each of its tasks.  After a search for a task of some size has failed, the next search for that size
examines only the machines added since.  tests/test_scale.py checks that the outcome equals that of
an exhaustive search.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import NamedTuple

from micadeal.jobs.model import Job
from micadeal.placement.bin_packing import MachineRanking, ZoneRule, is_economical
from micadeal.placement.machine_capacity import (
    EPSILON,
    MachineCapacity,
    RequestKey,
    placement_allowed,
    request_key,
)
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.users import Submission

#: A job with errors on more machines than this may be placed on them again.
MAX_AVOIDED_MACHINES = 3
#: Full machines are removed from the search list once they are more than 1/PRUNE_FRACTION of it.
PRUNE_FRACTION = 4


class _SearchExtent(NamedTuple):
    """What a search without a result covered; later additions may still fit."""

    #: Number of capacities at the time.
    capacities: int
    #: Number of bookings until then that opened an on-demand machine to work that may use spot.
    on_demand_openings: int


def free_amount(capacity: MachineCapacity, resource: str) -> float:
    """Return the free amount of one resource."""
    return capacity.gpus if resource == "gpus" else capacity.cpus


def _order(capacity: MachineCapacity) -> int:
    return capacity.order


class CapacityPool:
    """All capacities of a cycle; callers must report each booking and each planned machine."""

    def __init__(
        self, cluster: ClusterState, capacities: list[MachineCapacity], spot_scarce: bool
    ) -> None:
        self._cluster = cluster
        self.capacities = capacities
        #: Every spot offer was refused recently: work that may use spot may use on-demand machines.
        self.spot_scarce = spot_scarce
        self.machines_by_zone = Counter(capacity.zone for capacity in capacities)
        #: Number of capacities examined one by one during the cycle.
        self.examined = 0
        self._resource = ""
        #: Capacities with a free amount of the resource, sorted by ``MachineCapacity.order``.
        self._open: list[MachineCapacity] = []
        self._full_count = 0
        #: Rankings for jobs whose tasks are being placed.
        self._rankings: dict[str, MachineRanking] = {}
        self._zone_rules: dict[str, ZoneRule] = {}
        self._no_fit: dict[RequestKey, _SearchExtent] = {}
        self._on_demand_openings = 0

    def select_resource(self, resource: str) -> None:
        """Start placing the jobs that are accounted in this resource."""
        self._resource = resource
        self._prune(self.capacities)
        self._no_fit.clear()

    def _prune(self, capacities: list[MachineCapacity]) -> None:
        self._open = [
            capacity for capacity in capacities if free_amount(capacity, self._resource) > EPSILON
        ]
        self._full_count = 0

    # -- searching -------------------------------------------------------------------------

    def candidates(self, job: Job) -> list[MachineCapacity]:
        """Return the open machines for a job, without those where it failed if there are others.

        A job that failed on many machines may use all of them again.  It is then retried where its
        image is cached, instead of having one machine after the other fetch it.
        """
        if len(job.errors) > MAX_AVOIDED_MACHINES or not job.errors:
            return self._open
        if all(capacity.name in job.errors for capacity in self.capacities):
            return self._open
        return [capacity for capacity in self._open if capacity.name not in job.errors]

    def best(self, job: Job) -> MachineCapacity | None:
        """Return the best machine for the job's next task, or None."""
        ranking = self._ranking(job)
        return None if ranking is None else ranking.best()

    def _ranking(self, job: Job) -> MachineRanking | None:
        ranking = self._rankings.get(job.id)
        if ranking is not None:
            return ranking
        spec = job.spec
        fitting = self._unsearched_fits(spec)
        if not any(is_economical(spec, capacity, self.spot_scarce) for capacity in fitting):
            self._no_fit[request_key(spec)] = self._search_extent
            return None
        rule = self.zone_rule(job)
        if job.errors:
            # Each added machine changes which machines the job may use: the ranking isn't cached.
            return MachineRanking(spec, self.candidates(job), rule, self.spot_scarce)
        ranking = self._rankings[job.id] = MachineRanking(spec, fitting, rule, self.spot_scarce)
        return ranking

    def _unsearched_fits(self, spec: Submission) -> list[MachineCapacity]:
        """Return the open machines that fit a task, except those that a search found too full."""
        last_search = self._no_fit.get(request_key(spec))
        first = 0
        if last_search is not None and (
            last_search.on_demand_openings == self._on_demand_openings or not spec.spot_allowed
        ):
            first = last_search.capacities
        start = bisect_left(self._open, first, key=_order) if first else 0
        self.examined += len(self._open) - start
        return [
            capacity
            for capacity in (self._open[start:] if start else self._open)
            if capacity.fits(spec)
            and placement_allowed(spec, capacity.machine_type, capacity.zone, capacity.spot)
        ]

    @property
    def _search_extent(self) -> _SearchExtent:
        return _SearchExtent(len(self.capacities), self._on_demand_openings)

    def forget_ranking(self, job: Job) -> None:
        """Drop the job's ranking, since no more of its tasks are placed for now."""
        self._rankings.pop(job.id, None)

    def zone_rule(self, job: Job) -> ZoneRule:
        """Return the zone rule for the job's next task; the caller keeps it up to date."""
        rule = self._zone_rules.get(job.id)
        if rule is None:
            rule = self._zone_rules[job.id] = ZoneRule(job.spec, self._cluster.zones_of(job))
        return rule

    def gang_search_due(self, job: Job) -> bool:
        """Return whether a search for a gang of this size may succeed after the last one failed."""
        return bool(job.errors) or self._no_fit.get(_gang_key(job.spec)) != self._search_extent

    def note_no_gang_fit(self, job: Job) -> None:
        """Record that the search for a gang of this size failed."""
        if not job.errors:
            # A job with errors searches fewer machines, which proves nothing for other jobs.
            self._no_fit[_gang_key(job.spec)] = self._search_extent

    # -- changes ---------------------------------------------------------------------------

    def book(self, capacity: MachineCapacity, spec: Submission) -> None:
        """Book one task."""
        capacity.book(spec)
        self.note_booking(capacity, spec)

    def note_booking(self, capacity: MachineCapacity, spec: Submission) -> None:
        """Update the caches after a booking: the machine may now rank better for other jobs."""
        if spec.image not in capacity.images:
            capacity.fetching |= {spec.image}
        if not spec.spot_allowed and not capacity.spot:
            self._on_demand_openings += 1
        for ranking in self._rankings.values():
            ranking.refresh(capacity)
        if free_amount(capacity, self._resource) <= EPSILON:
            self._full_count += 1
            if self._full_count * PRUNE_FRACTION > len(self._open):
                self._prune(self._open)

    def add(self, capacity: MachineCapacity) -> None:
        """Add a planned machine."""
        capacity.order = len(self.capacities)
        self.capacities.append(capacity)
        self._open.append(capacity)
        for ranking in self._rankings.values():
            ranking.refresh(capacity)
        self.machines_by_zone[capacity.zone] += 1


def _gang_key(spec: Submission) -> RequestKey:
    return (*request_key(spec), spec.tasks, spec.one_zone, spec.spread)
