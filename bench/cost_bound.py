"""A lower bound for the cost of a night's flexible work, from a linear program (needs scipy).

The bound knows all prices and run times in advance; no scheduler could do better.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import NamedTuple

from scipy.optimize import linprog
from scipy.sparse import lil_matrix

from bench.night import MACHINE_TYPE, QUARTER, QUARTERS, Night, NightJob


class Choice(NamedTuple):
    """A job that starts in a quarter of an hour: a variable of the program."""

    job: int
    quarter: int
    cost: float


def cost_bound(night: Night) -> float:
    """Return the least cost of the flexible work; NaN: no schedule keeps every deadline."""
    jobs = [job for job in night.jobs if job.is_flexible]
    choices = [choice for number, job in enumerate(jobs) for choice in _choices(night, number, job)]
    one_start = lil_matrix((len(jobs), len(choices)))
    capacity = lil_matrix((QUARTERS, len(choices)))
    for column, choice in enumerate(choices):
        job = jobs[choice.job]
        one_start[choice.job, column] = 1.0
        # Only quarters that every start within the first one covers wholly.
        end = min(choice.quarter + job.run_time // QUARTER, QUARTERS)
        for quarter in range(choice.quarter + 1, end):
            capacity[quarter, column] = job.submission.tasks
    solution = linprog(
        [choice.cost for choice in choices],
        A_ub=capacity.tocsr(),
        b_ub=[night.machines * MACHINE_TYPE.gpus] * QUARTERS,
        A_eq=one_start.tocsr(),
        b_eq=[1.0] * len(jobs),
    )
    return float(solution.fun) if solution.status == 0 else math.nan


def _choices(night: Night, number: int, job: NightJob) -> Iterator[Choice]:
    first = math.floor(job.at / QUARTER)
    last = (job.deadline - job.run_time) // QUARTER
    for quarter in range(first, max(last, first) + 1):
        # The cheapest start within the quarter, so that the result stays a bound.
        cost = min(
            night.cost(QUARTER * quarter + QUARTER * part / 4, job.run_time) for part in range(5)
        )
        yield Choice(number, quarter, cost * job.submission.tasks)
