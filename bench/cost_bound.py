"""A lower bound on the cost of a night's flexible jobs, from a linear program (needs scipy).

The program knows all prices and run times in advance, so no scheduler can cost less.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import NamedTuple

from scipy.optimize import linprog
from scipy.sparse import lil_matrix

from bench.night import MACHINE_TYPE, QUARTER_COUNT, QUARTER_HOUR, Night, NightJob


class StartChoice(NamedTuple):
    """A variable of the program: the share of a job that starts in one quarter of an hour."""

    job: int
    quarter: int
    cost: float


def cost_bound(night: Night) -> float:
    """Return the lowest cost of the flexible jobs; NaN if no schedule meets every deadline."""
    jobs = [job for job in night.jobs if job.is_flexible]
    choices = [
        choice for job_index, job in enumerate(jobs) for choice in _choices(night, job_index, job)
    ]
    one_start_per_job = lil_matrix((len(jobs), len(choices)))
    used_capacity = lil_matrix((QUARTER_COUNT, len(choices)))
    for column, choice in enumerate(choices):
        job = jobs[choice.job]
        one_start_per_job[choice.job, column] = 1.0
        # Counts only the quarters that the job fills, wherever in the first one it starts.
        end = min(choice.quarter + job.run_time // QUARTER_HOUR, QUARTER_COUNT)
        for quarter in range(choice.quarter + 1, end):
            used_capacity[quarter, column] = job.submission.tasks
    solution = linprog(
        [choice.cost for choice in choices],
        A_ub=used_capacity.tocsr(),
        b_ub=[night.machines * MACHINE_TYPE.gpus] * QUARTER_COUNT,
        A_eq=one_start_per_job.tocsr(),
        b_eq=[1.0] * len(jobs),
    )
    return float(solution.fun) if solution.status == 0 else math.nan


def _choices(night: Night, job_index: int, job: NightJob) -> Iterator[StartChoice]:
    first = math.floor(job.submitted_at / QUARTER_HOUR)
    last = (job.deadline - job.run_time) // QUARTER_HOUR
    for quarter in range(first, max(last, first) + 1):
        # Takes the cheapest start within the quarter, so that the result stays a lower bound.
        cost = min(
            night.cost(QUARTER_HOUR * quarter + QUARTER_HOUR * step / 4, job.run_time)
            for step in range(5)
        )
        yield StartChoice(job_index, quarter, cost * job.submission.tasks)
