"""Demand, usage and fair share of each team in one scheduling cycle."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

from micadeal.jobs.model import Job
from micadeal.scheduling.bookings import Bookings
from micadeal.scheduling.capacity_pool import CapacityPool, free_amount
from micadeal.scheduling.cycle_data import CycleInputs
from micadeal.scheduling.pending_reasons import BACKING_OFF, GANG_ATTEMPT_ENDING, RUNNING_JOBS_LIMIT
from micadeal.scheduling.plan import TeamState
from micadeal.sharing.shares import Claim, fair_shares, resource_amount


def runnable_jobs(inputs: CycleInputs) -> list[Job]:
    """Return the jobs with pending tasks that may start, in the order of their teams' queues.

    Jobs beyond their team's limit of running jobs are left out (design, 4.7).
    """
    cluster = inputs.cluster
    jobs_per_team: Counter[str] = Counter()
    runnable: list[Job] = []
    for job in sorted(_not_deferred(inputs), key=lambda job: _queue_order(inputs, job)):
        team = job.spec.team
        # A blocked job has no demand and does not count as one of its team's running jobs.
        if team not in cluster.teams or job.complete or job.blocked:
            continue
        limit = inputs.policy.team(team).running_jobs
        jobs_per_team[team] += 1
        job.reasons.clear()
        waiting = job.waiting_count()
        if not waiting:
            continue
        if limit is not None and jobs_per_team[team] > limit and not job.attempts:
            job.reasons[RUNNING_JOBS_LIMIT] = waiting
        elif job.is_gang and job.attempts:
            job.reasons[GANG_ATTEMPT_ENDING] = waiting
        elif inputs.now < job.retry_at:
            job.reasons[BACKING_OFF] = waiting
        else:
            runnable.append(job)
    return runnable


def _not_deferred(inputs: CycleInputs) -> list[Job]:
    """Return all live jobs that are not deferred.

    Like jobs beyond a limit, deferred jobs are no demand.  They are left out before jobs are
    sorted, because there may be many.
    """
    deferral = inputs.deferral
    if deferral is None:
        return list(inputs.cluster.live_jobs())
    return [
        job for job in inputs.cluster.live_jobs() if deferral.active_hold(job, inputs.now) is None
    ]


def _queue_order(inputs: CycleInputs, job: Job) -> tuple[int, timedelta, str]:
    """Return the sort key of a job in its team's queue."""
    rank, since, job_id = job.order
    if inputs.policy.team(job.spec.team).order == "submitted":
        rank = 0
    queue_time = None if inputs.deferral is None else inputs.deferral.queue_time(job)
    if queue_time is not None:
        since = max(since, queue_time)
    return (rank, since, job_id)


def team_states(
    resource: str, jobs: list[Job], inputs: CycleInputs, pool: CapacityPool, bookings: Bookings
) -> dict[str, TeamState]:
    """Return each team's demand, usage and fair share of one resource, by team name.

    ``jobs``: the runnable jobs that are counted in this resource.
    """
    teams, policy = inputs.cluster.teams, inputs.policy
    states: dict[str, TeamState] = {}
    for name, team in teams.items():
        used = resource_amount(bookings.usage[name], resource)
        states[name] = TeamState(team.guarantee(resource), policy.team(name).weight, used, used)
    for job in jobs:
        states[job.spec.team].demand += bookings.waiting(job) * job.units
    for name, state in states.items():
        limit = teams[name].limit(resource)
        if limit is not None:
            state.demand = min(state.demand, limit)
    claims = [Claim(state.demand, state.weight, state.guarantee) for state in states.values()]
    shares = fair_shares(claims, _shared_amount(resource, states, inputs, pool))
    for state, share in zip(states.values(), shares, strict=True):
        state.share = share
    _count_reserved_machines(resource, states, inputs, pool)
    return states


def _shared_amount(
    resource: str, states: dict[str, TeamState], inputs: CycleInputs, pool: CapacityPool
) -> float:
    """Return the amount to share among the teams, which may exceed what is rented now.

    Unless the cloud refuses rentals, machines can be rented for the whole demand.
    """
    total: float = sum(
        kind.gpus if resource == "gpus" else kind.cpus
        for capacity in pool.capacities
        if (kind := inputs.cluster.types.get(capacity.machine_type))
    )
    demand = sum(state.demand for state in states.values())
    if inputs.may_rent and not inputs.instance_offers.backing_off(inputs.now):
        return max(total, demand)
    return total


def _count_reserved_machines(
    resource: str, states: dict[str, TeamState], inputs: CycleInputs, pool: CapacityPool
) -> None:
    """Count free capacity of reserved machines as used by the job's team: no other job uses it."""
    for capacity in pool.capacities:
        if not capacity.reserved:
            continue
        job = inputs.cluster.jobs.get(capacity.dedicated_to or "")
        if job is not None and job.resource == resource:
            states[job.spec.team].used += max(free_amount(capacity, resource), 0.0)
