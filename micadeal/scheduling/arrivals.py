"""Arrival rates of job classes, and the work that they let expect."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.fleet.instance_offers import InstanceOffers
from micadeal.jobs.model import Job
from micadeal.operator.platform import Objective
from micadeal.scheduling.plan import ExpectedWork
from micadeal.wire.users import Submission

#: Warm capacity as a multiple of what arrives in a boot time on average: more than that where
#: capacity costs a fraction.
WARM_FACTOR_ON_DEMAND = 1.0
WARM_FACTOR_SPOT = 1.5
#: Classes whose arrivals are kept.
MAX_CLASSES = 100
#: Arrivals kept per class, and over which windows their rate is taken.
MAX_ARRIVALS = 100
ARRIVAL_WINDOWS = (seconds(60), seconds(120), seconds(180))
MEDIAN_INDEX = len(ARRIVAL_WINDOWS) // 2
#: Older arrivals count as this old: a new leader learns of them all at once.
MAX_ARRIVAL_AGE = seconds(600)
#: Kind of an objective on the time that jobs of a class may wait for their start.
WAIT_OBJECTIVE = "wait"


@dataclass(frozen=True, slots=True)
class _Arrival:
    at: timedelta
    tasks: int


@dataclass(slots=True)
class ClassArrivals:
    """When jobs of one class arrived, and what the last of them asked for."""

    arrivals: deque[_Arrival] = field(default_factory=lambda: deque(maxlen=MAX_ARRIVALS))
    spec: Submission | None = None
    images: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_ARRIVALS))

    def rate(self, now: timedelta, window: timedelta) -> float:
        """Return the tasks per second within the window."""
        if len(self.arrivals) == MAX_ARRIVALS:
            # More came than are remembered: they tell of the time since the first of them.
            window = max(min(window, now - self.arrivals[0].at), seconds(1))
        tasks = sum(arrival.tasks for arrival in self.arrivals if now - arrival.at <= window)
        return tasks / window.total_seconds()


class ArrivalHistory:
    """Arrivals of all classes during one leader's term."""

    def __init__(self, instance_offers: InstanceOffers, objectives: Iterable[Objective]) -> None:
        self._offers = instance_offers
        self._objectives = [o for o in objectives if o.kind == WAIT_OBJECTIVE]
        self._by_class: dict[str, ClassArrivals] = {}

    @property
    def urgent_classes(self) -> frozenset[str]:
        """Classes with an objective on their waiting time."""
        return frozenset(objective.job_class for objective in self._objectives)

    def add(self, job: Job, now: timedelta) -> None:
        """Take note of a job that arrived."""
        entry = self._by_class.pop(job.spec.job_class, None) or ClassArrivals()
        self._by_class[job.spec.job_class] = entry
        if len(self._by_class) > MAX_CLASSES:
            # Class names are the users' choice: the one without arrivals for longest is dropped.
            del self._by_class[next(iter(self._by_class))]
        tasks = job.spec.tasks
        if job.is_gang:
            # A large gang needs more slots at once than are likely to be left: a machine's worth.
            tasks = min(tasks, self._offers.max_tasks_per_machine(job.spec))
        entry.arrivals.append(_Arrival(max(job.submitted, now - MAX_ARRIVAL_AGE), tasks))
        entry.spec = job.spec
        entry.images.append(job.spec.image)

    def expected_work(self, now: timedelta) -> tuple[ExpectedWork, ...]:
        """Return the work that needs warm capacity: it is to start sooner than a machine boots."""
        boot_times = [kind.boot_s for kind in self._offers.types.values()]
        if not boot_times:
            return ()
        boot_s = min(boot_times)
        result: list[ExpectedWork] = []
        for objective in self._objectives:
            entry = self._by_class.get(objective.job_class)
            if entry is None or entry.spec is None or objective.target >= seconds(boot_s):
                continue
            # A burst must not pass for a rate for long: the median over the windows counts.
            rate = sorted(entry.rate(now, window) for window in ARRIVAL_WINDOWS)[MEDIAN_INDEX]
            factor = WARM_FACTOR_SPOT if entry.spec.spot_allowed else WARM_FACTOR_ON_DEMAND
            tasks = max(1, math.ceil(rate * boot_s * factor))
            result.append(ExpectedWork(entry.spec, tasks, frozenset(entry.images)))
        return tuple(result)
