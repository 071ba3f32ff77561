"""The machine capacities of one scheduling cycle, and caches that keep searching them cheap.

Within a cycle capacities only shrink.  So machines are ranked once for a job, not for each of its
tasks, and where a task of some size found nothing, only machines added since need to be examined
for the next one of that size.  tests/test_scale.py holds the outcome equal to a plain search.
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
    allowed,
    request_key,
)
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.users import Submission

#: A job with errors on more machines than this is tried on them again.
MAX_AVOIDED_MACHINES = 3
#: Full machines are dropped from the search once they make up more than one in so many.
PRUNE_FRACTION = 4


class _Searched(NamedTuple):
    """How far a search without a result got; what came later may hold more."""

    #: Number of capacities that existed.
    capacities: int
    #: Number of bookings that opened an on-demand machine to work that may use spot.
    on_demand_openings: int


def free_amount(capacity: MachineCapacity, resource: str) -> float:
    """Return what is free of one resource."""
    return capacity.gpus if resource == "gpus" else capacity.cpus


def _order(capacity: MachineCapacity) -> int:
    return capacity.order


class CapacityPool:
    """All capacities of a cycle; each booking and each planned machine is announced to it."""

    def __init__(
        self, cluster: ClusterState, capacities: list[MachineCapacity], spot_scarce: bool
    ) -> None:
        self._cluster = cluster
        self.capacities = capacities
        #: Every spot offer was refused lately: work that may use spot may use on-demand machines.
        self.spot_scarce = spot_scarce
        self.machines_by_zone = Counter(capacity.zone for capacity in capacities)
        #: Capacities examined one by one, over the whole cycle.
        self.examined = 0
        self._resource = ""
        #: Capacities with something free of the resource, in their order.
        self._open: list[MachineCapacity] = []
        self._full_count = 0
        #: Rankings of jobs that tasks are being placed for.
        self._rankings: dict[str, MachineRanking] = {}
        self._zone_rules: dict[str, ZoneRule] = {}
        self._no_fit: dict[RequestKey, _Searched] = {}
        self._on_demand_openings = 0

    def select_resource(self, resource: str) -> None:
        """Begin to serve the jobs that are counted in this resource."""
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
        """Return machines for this job: not where it failed, as long as there are others.

        A job that fails everywhere is tried again where its image is, instead of having it fetched
        by one machine after the other.
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
            self._no_fit[request_key(spec)] = self._searched
            return None
        rule = self.zone_rule(job)
        if job.errors:
            # Which machines it may use changes with every one that is added: ranked anew each time.
            return MachineRanking(spec, self.candidates(job), rule, self.spot_scarce)
        ranking = self._rankings[job.id] = MachineRanking(spec, fitting, rule, self.spot_scarce)
        return ranking

    def _unsearched_fits(self, spec: Submission) -> list[MachineCapacity]:
        """Return the open machines that hold such a task, less those that were too full before."""
        searched = self._no_fit.get(request_key(spec))
        first = 0
        if searched is not None and (
            searched.on_demand_openings == self._on_demand_openings or not spec.spot_allowed
        ):
            first = searched.capacities
        start = bisect_left(self._open, first, key=_order) if first else 0
        self.examined += len(self._open) - start
        return [
            capacity
            for capacity in (self._open[start:] if start else self._open)
            if capacity.fits(spec)
            and allowed(spec, capacity.machine_type, capacity.zone, capacity.spot)
        ]

    @property
    def _searched(self) -> _Searched:
        return _Searched(len(self.capacities), self._on_demand_openings)

    def forget_ranking(self, job: Job) -> None:
        """Drop the job's ranking: no more of its tasks are placed for now."""
        self._rankings.pop(job.id, None)

    def zone_rule(self, job: Job) -> ZoneRule:
        """Return the zones open to the job's next task, kept up to date by the caller."""
        rule = self._zone_rules.get(job.id)
        if rule is None:
            rule = self._zone_rules[job.id] = ZoneRule(job.spec, self._cluster.zones_of(job))
        return rule

    def gang_search_due(self, job: Job) -> bool:
        """Return whether a search for a gang of this size may find more than the last one did."""
        return bool(job.errors) or self._no_fit.get(_gang_key(job.spec)) != self._searched

    def note_no_gang_fit(self, job: Job) -> None:
        """Remember that a gang of this size found nothing."""
        if not job.errors:
            # A job that failed somewhere examines fewer machines: that proves nothing for others.
            self._no_fit[_gang_key(job.spec)] = self._searched

    # -- changes ---------------------------------------------------------------------------

    def book(self, capacity: MachineCapacity, spec: Submission) -> None:
        """Book one task."""
        capacity.book(spec)
        self.note_booking(capacity, spec)

    def note_booking(self, capacity: MachineCapacity, spec: Submission) -> None:
        """Take note of a booking: the machine may rank better for other jobs now."""
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
