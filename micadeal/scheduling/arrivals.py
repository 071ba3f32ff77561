"""Arrival rates of job classes, and the forecast of work that needs warm capacity."""

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

#: Ratio of warm capacity to the average number of tasks that arrive within one boot time.  Spot
#: capacity costs a fraction of the on-demand price, so more of it is kept.
WARM_FACTOR_ON_DEMAND = 1.0
WARM_FACTOR_SPOT = 1.5
#: Number of classes whose arrivals are recorded.
MAX_CLASSES = 100
#: Number of arrivals recorded per class.
MAX_ARRIVALS = 100
#: Windows over which the arrival rate is measured.
ARRIVAL_WINDOWS = (seconds(60), seconds(120), seconds(180))
MEDIAN_INDEX = len(ARRIVAL_WINDOWS) // 2
#: Arrivals older than this are recorded with this age: a new leader loads all jobs in one step.
MAX_ARRIVAL_AGE = seconds(600)
#: Kind of objective that limits how long jobs of a class may wait for their start.
WAIT_OBJECTIVE = "wait"


@dataclass(frozen=True, slots=True)
class _Arrival:
    arrived_at: timedelta
    tasks: int


@dataclass(slots=True)
class ClassArrivals:
    """Arrivals of jobs of one class, and the specification of the newest one."""

    arrivals: deque[_Arrival] = field(default_factory=lambda: deque(maxlen=MAX_ARRIVALS))
    spec: Submission | None = None
    images: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_ARRIVALS))

    def rate(self, now: timedelta, window: timedelta) -> float:
        """Return the arrival rate within the window, in tasks per second."""
        if len(self.arrivals) == MAX_ARRIVALS:
            # Older arrivals were dropped, so the recorded ones cover only the time since the first.
            window = max(min(window, now - self.arrivals[0].arrived_at), seconds(1))
        tasks = sum(
            arrival.tasks for arrival in self.arrivals if now - arrival.arrived_at <= window
        )
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
        """Record the arrival of a job."""
        history = self._by_class.pop(job.spec.job_class, None) or ClassArrivals()
        self._by_class[job.spec.job_class] = history
        if len(self._by_class) > MAX_CLASSES:
            # Users choose class names freely, so the number of classes is bounded by dropping the
            # one whose last arrival is the oldest.
            del self._by_class[next(iter(self._by_class))]
        tasks = job.spec.tasks
        if job.is_gang:
            # Warm capacity rarely suffices for a large gang: it counts as one machine's worth.
            tasks = min(tasks, self._offers.max_tasks_per_machine(job.spec))
        history.arrivals.append(_Arrival(max(job.submitted_at, now - MAX_ARRIVAL_AGE), tasks))
        history.spec = job.spec
        history.images.append(job.spec.image)

    def expected_work(self, now: timedelta) -> tuple[ExpectedWork, ...]:
        """Return the expected work whose wait objective is shorter than a machine's boot time."""
        boot_times = [kind.boot_s for kind in self._offers.types.values()]
        if not boot_times:
            return ()
        boot_s = min(boot_times)
        expected: list[ExpectedWork] = []
        for objective in self._objectives:
            history = self._by_class.get(objective.job_class)
            if history is None or history.spec is None or objective.target >= seconds(boot_s):
                continue
            # The median over the windows keeps a short burst from counting as a lasting rate.
            rate = sorted(history.rate(now, window) for window in ARRIVAL_WINDOWS)[MEDIAN_INDEX]
            factor = WARM_FACTOR_SPOT if history.spec.spot_allowed else WARM_FACTOR_ON_DEMAND
            tasks = max(1, math.ceil(rate * boot_s * factor))
            expected.append(ExpectedWork(history.spec, tasks, frozenset(history.images)))
        return tuple(expected)
