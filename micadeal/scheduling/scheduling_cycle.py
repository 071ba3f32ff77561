"""One scheduling pass: hand out room, hold room for what waits, wish for machines, pick victims.

Pure but for the attempts that it adds to the cluster; the caller writes them down and starts them.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING

from micadeal.fleet.instance_offers import InstanceOffer, InstanceOffers
from micadeal.jobs.model import Job
from micadeal.operator.policy import Policy
from micadeal.placement.bin_packing import (
    EPSILON,
    MachineCapacity,
    MachineRanking,
    ZoneRule,
    allowed,
    choose_gang,
    rank,
    size_of,
    worth_it,
)
from micadeal.scheduling.capacity import build_capacities, empty_capacity
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.delay import Delay
from micadeal.scheduling.plan import Expected, Findings, Plan, TeamState
from micadeal.scheduling.preemption import Preemption
from micadeal.sharing.order import team_key
from micadeal.sharing.shares import Claim, booked, fair_shares
from micadeal.sharing.starvation import StarvationTimer
from micadeal.wire.cloud import MachineType
from micadeal.wire.users import Submission

if TYPE_CHECKING:
    # Imported where timing is switched on: others start without it.
    from micadeal.scheduling.deferral import Deferral

RESOURCES = ("gpus", "cpus")
#: Room that is kept is not tied to other tasks of a job.
NO_ZONES: Counter[str] = Counter()
COMES_FREE = "room is likely to come free before a machine could be rented"
OWN_MISTAKE = "no machine is rented for it: it fails on every one, most likely by its own mistake"
#: After errors on more machines than this a job is tried on them again.
MOST_TRIED = 3
WAITS_FOR_IMAGE = "waits a little for a machine that holds its image"
#: New machines wished for in one pass, however much waits.
MOST_WISHES = 200


def _left(capacity: MachineCapacity, resource: str) -> float:
    return capacity.gpus if resource == "gpus" else capacity.cpus


def _order(capacity: MachineCapacity) -> int:
    return capacity.order


class SchedulingCycle:
    """The state of one pass."""

    def __init__(
        self,
        cluster: ClusterState,
        instance_offers: InstanceOffers,
        policy: Policy,
        timers: dict[tuple[str, str], StarvationTimer],
        expected: Iterable[Expected],
        now: timedelta,
        *,
        may_rent: bool,
        pending: Counter[InstanceOffer],
        holding: Deferral | None = None,
        by_age: set[str] | None = None,
    ) -> None:
        """``by_age``: teams whose last start went to a job that had waited long; kept along."""
        self.holding = holding
        self.by_age = set() if by_age is None else by_age
        self.cluster = cluster
        self.instance_offers = instance_offers
        self.policy = policy
        self.timers = timers
        self.expected = list(expected)
        self.now = now
        self.may_rent = may_rent
        self.plan = Plan()
        self.pending = pending
        self.capacities = build_capacities(cluster, now, pending)
        self.present = Counter(capacity.zone for capacity in self.capacities)
        self.held = cluster.held()
        #: Rooms with something left of the resource that is being handed out.
        self.open: list[MachineCapacity] = []
        #: For jobs that are being asked: what they choose from.
        self._pickers: dict[str, MachineRanking] = {}
        self._resource = RESOURCES[0]
        self._filled_up = 0
        #: For sizes of tasks: the first room, in the order of the pass, that may have something
        #: for them, as long as no more ordinary machines are shared than then.
        self._nothing: dict[tuple[object, ...], tuple[int, int]] = {}
        #: Counts what may open ordinary machines to batch: see ``worth_it``.
        self._shared = 0
        self._rules: dict[str, ZoneRule] = {}
        self._delay = Delay(cluster, now)
        #: Cores that short work without accelerators is likely to leave in a boot time.
        self._cores_soon: float | None = None
        self.virtual: Counter[str] = Counter()
        #: Rooms looked at one by one, over the whole pass.
        self.looked_at = 0
        self.wishes = 0
        self.total: dict[str, tuple[float, float]] = cluster.usage()
        self.unplaced: list[Job] = []
        self.spot_scarce = instance_offers.spot_refused(now)

    def run(self) -> Plan:
        runnable = self._runnable()
        for resource in RESOURCES:
            jobs = [job for job in runnable if job.resource == resource]
            states = self._team_states(resource, jobs)
            self._resource = resource
            self._open_again(self.capacities)
            self._nothing.clear()
            # Production first: it is not to wait behind what may be stopped for it.  Within each
            # round the order is the source's.
            for production in (True, False):
                self._hand_out([j for j in jobs if j.production is production], resource, states)
        for work in self.expected:
            self._keep_room(work)
        for capacity in self.capacities:
            if capacity.booked and not capacity.wish and not capacity.up:
                self.plan.held.add(capacity.name)
        found = Findings(
            self.cluster,
            self.policy,
            self.timers,
            self.now,
            self.plan,
            self.present,
            self.unplaced,
            self.spot_scarce,
        )
        Preemption(found).pick()
        return self.plan

    # -- demand ----------------------------------------------------------------------------

    def _runnable(self) -> list[Job]:
        """Jobs with something waiting, less those past their team's running limit (source, 4.7)."""
        per_team: Counter[str] = Counter()
        result: list[Job] = []
        for job in sorted(self._open_jobs(), key=self._job_order):
            if job.spec.team not in self.cluster.teams or job.complete:
                continue
            if job.blocked:
                # It has no demand, and is none of its team's running jobs.
                continue
            limit = self.policy.team(job.spec.team).running_jobs
            per_team[job.spec.team] += 1
            job.reasons.clear()
            waiting = job.waiting_count()
            if not waiting:
                continue
            if limit is not None and per_team[job.spec.team] > limit and not job.attempts:
                job.reasons["the team's limit of running jobs is reached"] = waiting
            elif job.is_gang and job.attempts:
                job.reasons["the gang's last attempt is being brought to an end"] = waiting
            elif self.now < job.retry_at:
                job.reasons["backing off after errors"] = waiting
            else:
                result.append(job)
        return result

    def _open_jobs(self) -> Iterable[Job]:
        """All but those that wait for a better hour: they count as no demand, as jobs past a limit
        do, and are left out before anything is sorted, since there may be many."""
        holding = self.holding
        if holding is None:
            return self.cluster.live_jobs()
        return [job for job in self.cluster.live_jobs() if holding.held(job, self.now) is None]

    def _job_order(self, job: Job) -> tuple[int, timedelta, str]:
        rank, submitted, job_id = job.order
        if self.policy.team(job.spec.team).order == "submitted":
            rank = 0
        place = self.holding.place(job) if self.holding is not None else None
        return (rank, submitted if place is None else max(submitted, place), job_id)

    def _team_states(self, resource: str, jobs: list[Job]) -> dict[str, TeamState]:
        states: dict[str, TeamState] = {}
        for name, team in self.cluster.teams.items():
            used = booked(self.total[name], resource)
            states[name] = TeamState(
                team.minimum(resource), self.policy.team(name).weight, used, used
            )
        for job in jobs:
            states[job.spec.team].demand += self._waiting(job) * job.units
        for name, state in states.items():
            limit = self.cluster.teams[name].limit(resource)
            if limit is not None:
                state.demand = min(state.demand, limit)
        names = list(states)
        slots = sum(
            kind.gpus if resource == "gpus" else kind.cpus
            for capacity in self.capacities
            if (kind := self.cluster.types.get(capacity.machine_type))
        )
        # What can be had, not only what is rented now: unless the cloud refuses, more can be had.
        demanded = sum(state.demand for state in states.values())
        if self.may_rent and not self.instance_offers.any_paused(self.now):
            slots = max(slots, demanded)
        shares = fair_shares(
            [Claim(states[n].demand, states[n].weight, states[n].minimum) for n in names], slots
        )
        for name, share in zip(names, shares, strict=True):
            states[name].share = share
        for capacity in self.capacities:
            waiting = self.cluster.jobs.get(capacity.preempted_for or "") if capacity.kept else None
            if waiting is not None and waiting.resource == resource:
                # Kept for its team, and used by nobody else meanwhile.
                states[waiting.spec.team].used += max(_left(capacity, resource), 0.0)
        self.plan.teams[resource] = states
        return states

    def _waiting(self, job: Job) -> int:
        return job.waiting_count() - self.virtual[job.id]

    # -- handing out -----------------------------------------------------------------------

    def _hand_out(self, jobs: list[Job], resource: str, states: dict[str, TeamState]) -> None:
        queues: dict[str, list[Job]] = {}
        for job in jobs:
            queues.setdefault(job.spec.team, []).append(job)
        aged: set[str] = set()
        for name, queue in queues.items():
            oldest = self._longest(queue)
            queue.reverse()
            if oldest is not None:
                # It is asked once before the others, and again where its place is by the order.
                queue.append(oldest)
                aged.add(name)
        while queues:
            name = min(
                queues,
                key=lambda n: (*team_key(states[n].used, states[n].minimum, states[n].weight), n),
            )
            queue = queues[name]
            job = queue[-1]
            units = 0.0
            if self._waiting(job):
                units = self._gang(job) if job.is_gang else self._task(job)
            states[name].used += units
            if name in aged:
                aged.discard(name)
                if units:
                    self.by_age.add(name)
                queue.pop()
                continue
            if units:
                self.by_age.discard(name)
            if not units or not self._waiting(job):
                # The job passes (source, 4.2): the next one of the team is asked.
                queue.pop()
                self._pickers.pop(job.id, None)
                if not queue:
                    del queues[name]

    def _longest(self, queue: list[Job]) -> Job | None:
        """The job of a team that has waited longest with nothing begun, if it is its turn.

        Guards against single jobs that wait behind one of thousands of tasks until that is done:
        every other start of a team goes to such a job, so neither keeps the other out.
        """
        if queue[0].spec.team in self.by_age:
            return None
        patience = self.policy.gather_late
        waiting = [job for job in queue[1:] if job.unbegun and self.now - job.ready >= patience]
        return min(waiting, key=lambda job: (job.ready, job.id), default=None)

    def _limit_reason(self, job: Job, tasks: int) -> str | None:
        team = self.cluster.teams[job.spec.team]
        cpus, gpus = self.total[team.name]
        spec = job.spec
        if spec.cpus and team.cpus_max and cpus + tasks * spec.cpus > team.cpus_max + EPSILON:
            return "the team's limit of cores is reached"
        if spec.gpus and team.gpus_max and gpus + tasks * spec.gpus > team.gpus_max + EPSILON:
            return "the team's limit of accelerators is reached"
        return None

    def _count(self, job: Job, tasks: int) -> None:
        cpus, gpus = self.total[job.spec.team]
        self.total[job.spec.team] = (cpus + tasks * job.spec.cpus, gpus + tasks * job.spec.gpus)

    def _open_rooms(self, job: Job) -> list[MachineCapacity]:
        """Rooms for this job: not where it failed, as long as there are others.  One that fails
        everywhere is tried again where its image is, instead of having it fetched over and over."""
        if len(job.errors) > MOST_TRIED or not job.errors:
            return self.open
        if all(capacity.name in job.errors for capacity in self.capacities):
            return self.open
        return [capacity for capacity in self.open if capacity.name not in job.errors]

    def _picker(self, job: Job) -> MachineRanking | None:
        """What the job chooses its rooms from; None if there is nothing for tasks of its size.

        Within a pass rooms only fill up.  So where a task of the same size found nothing, only
        rooms that have come since need to be looked at.
        """
        picker = self._pickers.get(job.id)
        if picker is not None:
            return picker
        spec = job.spec
        size = size_of(spec)
        first, shared = self._nothing.get(size, (0, self._shared))
        if shared != self._shared and spec.spot_allowed:
            first = 0
        start = bisect_left(self.open, first, key=_order) if first else 0
        fitting = [
            capacity
            for capacity in (self.open[start:] if start else self.open)
            if capacity.fits(spec)
            and allowed(spec, capacity.machine_type, capacity.zone, capacity.spot)
        ]
        self.looked_at += len(self.open) - start
        if not any(worth_it(spec, capacity, self.spot_scarce) for capacity in fitting):
            self._nothing[size] = (len(self.capacities), self._shared)
            return None
        if job.errors:
            # Which rooms are open to it changes with every room that comes: ranked anew each time.
            return MachineRanking(spec, self._open_rooms(job), self._rule(job), self.spot_scarce)
        picker = self._pickers[job.id] = MachineRanking(
            spec, fitting, self._rule(job), self.spot_scarce
        )
        return picker

    def _rule(self, job: Job) -> ZoneRule:
        rule = self._rules.get(job.id)
        if rule is None:
            rule = self._rules[job.id] = ZoneRule(job.spec, self.cluster.zones_of(job))
        return rule

    def _task(self, job: Job) -> float:
        """Book one task; its units, or 0 if the job passes."""
        waiting = self._waiting(job)
        if reason := self._limit_reason(job, 1):
            job.reasons[reason] += waiting
            return 0.0
        if job.suspect and job.attempts:
            job.reasons["only one task at a time is tried after errors on several machines"] += (
                waiting
            )
            return 0.0
        picker = self._picker(job)
        capacity = picker.best() if picker is not None else None
        if capacity is not None and capacity.up and self._delay.passes(job, waiting, capacity):
            job.reasons[WAITS_FOR_IMAGE] += waiting
            return 0.0
        if capacity is None and len(job.errors) > MOST_TRIED:
            job.reasons[OWN_MISTAKE] += waiting
            return 0.0
        if capacity is None and self._frees_soon(job, waiting):
            job.reasons[COMES_FREE] += waiting
            return 0.0
        if capacity is None:
            capacity = self._wish(job.spec, self._rule(job))
        if capacity is None:
            job.reasons[self._no_room_reason(job)] += waiting
            self.unplaced.append(job)
            return 0.0
        self._fill_room(capacity, job.spec)
        self._rule(job).zones[capacity.zone] += 1
        self._book(job, capacity, None)
        return job.units

    def _frees_soon(self, job: Job, tasks: int) -> bool:
        """Whether short work without accelerators will leave room for so many tasks before a
        machine could boot: one rented for them would come too late, and with idle accelerators."""
        spec = job.spec
        if spec.gpus or job.is_service:
            return False
        if self._cores_soon is None:
            boot = min((kind.boot_s for kind in self.instance_offers.types.values()), default=0.0)
            self._cores_soon = sum(
                other.running_count() * other.spec.cpus * min(boot / max(left, 1.0), 1.0)
                for other in self.cluster.live_jobs()
                if not other.spec.gpus and (left := other.spec.estimate_s)
            )
        needed = tasks * spec.cpus
        if self._cores_soon < needed:
            return False
        self._cores_soon -= needed
        return True

    def _fill_room(self, capacity: MachineCapacity, spec: Submission) -> None:
        capacity.book(spec)
        self._filled(capacity, spec)

    def _filled(self, capacity: MachineCapacity, spec: Submission) -> None:
        """Something was booked into the room: it may rank better with others now."""
        if spec.image not in capacity.images:
            capacity.fetching |= {spec.image}
        if not spec.spot_allowed and not capacity.spot:
            self._shared += 1
        for picker in self._pickers.values():
            picker.refresh(capacity)
        if _left(capacity, self._resource) <= EPSILON:
            self._filled_up += 1
            if self._filled_up * 4 > len(self.open):
                self._open_again(self.open)

    def _open_again(self, capacities: list[MachineCapacity]) -> None:
        self.open = [
            capacity for capacity in capacities if _left(capacity, self._resource) > EPSILON
        ]
        self._filled_up = 0

    def _book(self, job: Job, capacity: MachineCapacity, number: int | None) -> None:
        self._count(job, 1)
        index = job.next_waiting()
        if capacity.up and index is not None:
            machine = self.cluster.machines[capacity.name]
            if job.spec.image in capacity.images:
                job.passed_since = None
            attempt = self.cluster.place(
                job, index, number or self.cluster.next_number(), machine, self.now
            )
            self.plan.placed.append(attempt.placed_task)
            return
        self.virtual[job.id] += 1
        if capacity.wish:
            job.reasons["a machine is being rented"] += 1
        else:
            job.reasons["a machine for it is still booting"] += 1
        self.unplaced.append(job)

    def _gang(self, job: Job) -> float:
        """Book all tasks of a gang, or none."""
        spec = job.spec
        if reason := self._limit_reason(job, spec.tasks):
            job.reasons[reason] += spec.tasks
            return 0.0
        capacities = self._open_rooms(job)
        size = (*size_of(spec), spec.tasks, spec.one_zone, spec.spread)
        found = None
        if job.errors or self._nothing.get(size) != (len(self.capacities), self._shared):
            self.looked_at += len(capacities)
            found = choose_gang(spec, capacities, self.spot_scarce)
            if found is not None and self._gang_passes(job, found):
                for capacity in found:
                    capacity.unbook(spec)
                job.reasons[WAITS_FOR_IMAGE] += spec.tasks
                return 0.0
        if found is None:
            if not job.errors:
                # A job that failed somewhere looks at fewer rooms: it proves nothing for others.
                self._nothing[size] = (len(self.capacities), self._shared)
            wishes = [] if len(job.errors) > MOST_TRIED else self._gang_wishes(spec)
            found = choose_gang(spec, [*capacities, *wishes], self.spot_scarce) if wishes else None
            for capacity in wishes:
                if capacity.booked:
                    self._count_wish(capacity)
        if found is None:
            job.reasons[self._no_room_reason(job)] += spec.tasks
            self.unplaced.append(job)
            return 0.0
        for capacity in dict.fromkeys(found):
            self._filled(capacity, spec)
        if all(capacity.up for capacity in found):
            number = self.cluster.next_number()
            for capacity in found:
                self._book(job, capacity, number)
        else:
            # Room is held on the machines that are up already, or it would never come together.
            self._count(job, spec.tasks)
            self.virtual[job.id] += spec.tasks
            self.plan.held.update(capacity.name for capacity in found if not capacity.wish)
            job.reasons["room for the whole gang is being gathered"] += spec.tasks
            self.unplaced.append(job)
        return job.units * spec.tasks

    def _gang_passes(self, job: Job, found: list[MachineCapacity]) -> bool:
        """A gang waits for its slowest fetch, and all its room must come free in one place."""
        if not all(capacity.up for capacity in found):
            return False
        fetches = [capacity for capacity in found if job.spec.image not in capacity.images]
        if not fetches:
            return False
        places = len(self.present) if job.spec.one_zone and job.spec.tasks > 1 else 1
        return self._delay.passes(job, len(fetches) * places, fetches[0])

    # -- renting ---------------------------------------------------------------------------

    def _new_room(self, offer: InstanceOffer, kind: MachineType) -> MachineCapacity:
        name = f"wish {offer.zone} {self.wishes} {len(self.capacities)}"
        return empty_capacity(name, offer, kind, len(self.capacities), wish=True)

    def _held(self, offer: InstanceOffer) -> int:
        """Machines that we have of an offer, or ask for in this pass."""
        return self.held[offer] + self.pending[offer] + self.plan.rentals[offer]

    def _count_wish(self, capacity: MachineCapacity) -> None:
        self.wishes += 1
        capacity.order = len(self.capacities)
        self.capacities.append(capacity)
        self.open.append(capacity)
        for picker in self._pickers.values():
            picker.refresh(capacity)
        self.present[capacity.zone] += 1
        self.plan.rentals[InstanceOffer(capacity.machine_type, capacity.zone, capacity.spot)] += 1

    def _wish(
        self, spec: Submission, rule: ZoneRule, spare: bool = False
    ) -> MachineCapacity | None:
        if not self.may_rent or self.wishes >= MOST_WISHES:
            return None
        for offer, kind in self.instance_offers.choices(spec, self.now, self.present):
            if spare and spec.spot_allowed and not offer.spot:
                # Spare room for what may use spot is not worth an ordinary machine's price.
                continue
            if rule.permits(offer.zone):
                capacity = self._new_room(offer, kind)
                self._count_wish(capacity)
                return capacity
        return None

    def _gang_wishes(self, spec: Submission) -> list[MachineCapacity]:
        """Rooms that could be rented for a gang, of the cheapest kind open in each zone."""
        if not self.may_rent or self.wishes >= MOST_WISHES:
            return []
        seen: set[str] = set()
        wishes: list[MachineCapacity] = []
        for offer, kind in self.instance_offers.choices(spec, self.now, self.present):
            if offer.zone not in seen:
                seen.add(offer.zone)
                count = min(spec.tasks, MOST_WISHES)
                left = self.instance_offers.left(offer, self._held(offer), self.now)
                if left is not None:
                    count = min(count, left)
                for _ in range(count):
                    capacity = self._new_room(offer, kind)
                    capacity.order += len(wishes)
                    wishes.append(capacity)
        return wishes

    def _no_room_reason(self, job: Job) -> str:
        if not self.may_rent:
            return "no room, and renting waits until the machines have been counted"
        if self.wishes >= MOST_WISHES:
            return "no room; many machines are being rented already"
        offers = list(self.instance_offers.choices(job.spec, self.now, self.present))
        if not offers:
            return "no room, and the cloud refused to rent more a moment ago"
        return "no room in a zone that the job's other tasks leave open"

    def _keep_room(self, work: Expected) -> None:
        """Hold room for work of a class whose tasks are to start sooner than a machine boots.

        Rooms are ranked once and anew only when something was booked into them: with hundreds of
        tasks expected, ranking all for each took most of a leader's time.
        """
        spec = work.spec
        heap = [
            (self._spare_rank(work, capacity), capacity.order, capacity)
            for capacity in self.capacities
            if capacity.fits(spec)
            and allowed(spec, capacity.machine_type, capacity.zone, capacity.spot)
            and worth_it(spec, capacity, False)
        ]
        heapify(heap)
        for _ in range(work.tasks):
            if heap:
                capacity = heap[0][2]
            elif (wish := self._wish(spec, ZoneRule(spec), spare=True)) is not None:
                capacity = wish
                heappush(heap, (self._spare_rank(work, capacity), capacity.order, capacity))
            else:
                return
            capacity.book(spec)
            if not capacity.wish:
                self.plan.spare.add(capacity.name)
            # A room is fuller now, so it ranks better if anything: it is the next one to be taken.
            heappop(heap)
            if capacity.fits(spec):
                heappush(heap, (self._spare_rank(work, capacity), capacity.order, capacity))

    @staticmethod
    def _spare_rank(work: Expected, capacity: MachineCapacity) -> tuple[float, ...]:
        """Smaller is better: the rest of a machine that is kept anyway costs nothing; room that
        holds more of the class's images is worth more, since a fetch takes longer than such a
        class may wait."""
        shared = capacity.up and (capacity.bound_tasks > 0 or work.spec.spot_allowed)
        images = len(capacity.images & work.images) if capacity.up else 0
        return (
            0 if shared else 1,
            0 if capacity.up else 1,
            -images,
            *rank(work.spec, capacity, NO_ZONES),
        )
