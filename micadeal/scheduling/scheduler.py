"""The leader's decisions over time: passes, and machines that come and go.  No I/O."""

from __future__ import annotations

import logging
import math
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from micadeal.clock import ZERO, seconds
from micadeal.fleet.instance_offers import InstanceOffer, InstanceOffers
from micadeal.fleet.machines import Attempt, Machine, Preemption
from micadeal.jobs.model import Job
from micadeal.operator.platform import Objective
from micadeal.operator.policy import Policy
from micadeal.placement.bin_packing import EPSILON
from micadeal.scheduling import machine_loss, reconciliation, worker_commands
from micadeal.scheduling.capacity import SILENT_HEARTBEATS
from micadeal.scheduling.cluster_state import ClusterState, grace_to_save
from micadeal.scheduling.plan import Expected, Plan
from micadeal.scheduling.reservations import GangReservations
from micadeal.scheduling.scheduling_cycle import SchedulingCycle
from micadeal.sharing.starvation import StarvationTimer
from micadeal.wire.cloud import ListedMachine, MachineType, RentalRequest
from micadeal.wire.peers import Counts
from micadeal.wire.users import Submission
from micadeal.wire.workers import Command, Heartbeat

if TYPE_CHECKING:
    # Imported where timing is switched on: others start without it.
    from micadeal.scheduling.deferral import Deferral

log = logging.getLogger(__name__)

MOST_PER_RENTAL = 50
#: Charged anyway (PROTOCOL, cloud): returning a machine earlier saves nothing.
MINIMUM_CHARGE = seconds(60)
#: An idle machine is kept for this share of its type's boot time: to rent it anew costs a boot
#: and the fetch of its images, and makes work wait for both.
IDLE_SHARE = 0.5
#: A silent machine is given back when its lease and this have passed.
UNREACHABLE_PATIENCE = seconds(45)
#: A machine whose announced end has passed is taken to be gone after so many report intervals.
TAKEN_REPORTS = 1.5
#: A machine that is known from a report alone, and does not answer, is given back after so many.
UNKNOWN_REPORTS = 3
#: With more than this share of the machines, and no fewer than so many, deaf to us, it is rather we
#: who can't be heard.
MOST_DEAF = 0.5
FEW_DEAF = 3
#: A gap of this length between two looks at the clock: we stood still.
ABSENCE = seconds(3)
#: How long after taking over renting waits for machines that have not reported yet.
COUNTING_TIME = seconds(4)
#: A machine is faulty with so many points: those of a job that failed on it and runs elsewhere, for
#: so long; of one of which nothing else is known, one.
FAULTY_POINTS = 3
SURE_POINTS = 2
RUNS_FOR = seconds(5)
#: Beyond the time that a task needs to save: until its end is reported, and the next pass.
CLEARING_TIME = seconds(6)
#: When so many of the machines at work have been heard of by a new leader, its log says so.
HEARD_SHARES = (0.5, 0.65, 0.9)
#: How often the log gets a line on machines and tasks.
LINE_EVERY = seconds(15)
#: Warm room, as a multiple of what comes in a boot time on average: some beyond it where room costs
#: a fraction.
SPARE_ORDINARY = 1.0
SPARE_SPOT = 1.5
MOST_CLASSES = 100
#: Arrivals kept per class, and how far back they count.
ARRIVALS = 100
ARRIVAL_WINDOWS = (seconds(60), seconds(120), seconds(180))


@dataclass(slots=True)
class Arrivals:
    """When jobs of a class came, and what the last of them looked like."""

    #: When, and how many tasks.
    times: deque[tuple[timedelta, int]] = field(default_factory=lambda: deque(maxlen=ARRIVALS))
    spec: Submission | None = None
    images: deque[str] = field(default_factory=lambda: deque(maxlen=ARRIVALS))

    def rate(self, now: timedelta, window: timedelta) -> float:
        """Tasks per second within the window."""
        if len(self.times) == ARRIVALS:
            # More came than are remembered: they tell of the time since the first of them.
            window = max(min(window, now - self.times[0][0]), seconds(1))
        tasks = sum(count for at, count in self.times if now - at <= window)
        return tasks / window.total_seconds()


def _ends_within(job: Job, attempt: Attempt, left: timedelta, now: timedelta) -> bool:
    """Whether a task is likely to be done by then, as far as its owner's estimate tells."""
    if attempt.running_since is None or job.is_service:
        return False
    return attempt.running_since + seconds(job.spec.estimate_s) <= now + left


class Scheduler:
    """One term's decisions.  ``tick`` is called often, ``run_cycle`` when it is wanted."""

    def __init__(
        self,
        cluster: ClusterState,
        instance_offers: InstanceOffers,
        policy: Policy,
        objectives: Iterable[Objective],
        now: timedelta,
    ) -> None:
        self.cluster = cluster
        self.instance_offers = instance_offers
        self.policy = policy
        self.objectives = tuple(objectives)
        self.timers: dict[tuple[str, str], StarvationTimer] = {}
        self.gathering = GangReservations()
        #: Teams whose last start went to a job that had waited long.
        self._by_age: set[str] = set()
        self.plan = Plan()
        #: Rentals asked for and not answered yet, one for each offer at most.
        self.rentals: dict[InstanceOffer, RentalRequest] = {}
        #: Machines to be returned; stays filled until the cloud confirms.
        self.releases: set[str] = set()
        self.listed = False
        self._rentals = 0
        #: Since when we look at machines without a gap: what was silent before may be our fault.
        self._present_since = now
        self._ticked: timedelta | None = None
        #: As of the last look at the machines.
        self._too_many_deaf = False
        self._last_pass: timedelta | None = None
        self._last_line: timedelta | None = None
        self._arrivals: dict[str, Arrivals] = {}
        self._direct_again: dict[str, timedelta] = {}
        #: Shares of the machines whose first reports are still waited for, to be logged.
        self._hearing = list(HEARD_SHARES)
        #: Holds flexible work for better hours; None: that is switched off.
        self.holding: Deferral | None = None
        self._waited_for = frozenset(o.job_class for o in self.objectives if o.kind == "wait")

    # -- events ----------------------------------------------------------------------------

    def set_catalog(self, types: Iterable[MachineType]) -> None:
        self.instance_offers.types = {kind.name: kind for kind in types}
        self.cluster.types = self.instance_offers.types
        self.cluster.changed = True

    def job_added(self, job: Job, now: timedelta) -> None:
        if job.id in self.cluster.jobs:
            return
        self.cluster.add_job(job)
        if not job.spec.prerequisites:
            # When one that waits for others will come is known better than by a rate.
            self._arrived(job, now)

    def _arrived(self, job: Job, now: timedelta) -> None:
        arrivals = self._arrivals.pop(job.spec.job_class, None) or Arrivals()
        self._arrivals[job.spec.job_class] = arrivals
        if len(self._arrivals) > MOST_CLASSES:
            # Class names are the users' choice: the one that came least lately goes.
            del self._arrivals[next(iter(self._arrivals))]
        tasks = job.spec.tasks
        if job.is_gang:
            # A large gang needs more room at once than is likely to be left: a machine's worth.
            tasks = min(tasks, self.instance_offers.most_on_one(job.spec))
        arrivals.times.append((max(job.submitted, now - seconds(600)), tasks))
        arrivals.spec = job.spec
        arrivals.images.append(job.spec.image)

    def on_heartbeat(
        self, heartbeat: Heartbeat, now: timedelta, *, is_heartbeat: bool, full: bool
    ) -> list[Command] | None:
        """Orders for the answer; None if the machine is gone for good or the report is old."""
        machine = reconciliation.reconcile_heartbeat(
            self.cluster, heartbeat, now, is_heartbeat=is_heartbeat
        )
        if machine is None:
            return None
        return worker_commands.commands_for(self.cluster, machine, full) if is_heartbeat else []

    def on_list(self, listed: Iterable[ListedMachine], now: timedelta) -> None:
        self.listed = True
        present: set[str] = set()
        for entry in listed:
            present.add(entry.name)
            if entry.name in self.cluster.gone:
                continue
            machine = self.cluster.machines.get(entry.name)
            if machine is None:
                # Rented by an earlier leader, or by a request that was executed late.
                machine = Machine(
                    entry.name,
                    entry.address,
                    entry.machine_type,
                    entry.zone,
                    entry.spot,
                    now,
                    now - seconds(entry.age_s),
                )
                self.cluster.machines[entry.name] = machine
                self.cluster.changed = True
            machine.rented = min(machine.rented, now - seconds(entry.age_s))
            machine.address = machine.address or entry.address
            machine.missing_lists = 0
            machine.listed = machine.confirmed = True
            machine.listed_failed |= entry.status == "failed"
            machine.listed_running |= entry.status == "running"
            machine.boot_seen |= entry.status == "booting" and not machine.up
        for machine in self.cluster.machines.values():
            if machine.name not in present and machine.listed:
                machine.missing_lists += 1

    def rented(self, request: RentalRequest, names: list[str], now: timedelta) -> None:
        offer = InstanceOffer(request.machine_type, request.zone, request.spot)
        self.rentals.pop(offer, None)
        self.instance_offers.granted(offer)
        for name in names:
            if name in self.cluster.gone:
                continue
            machine = self.cluster.machines.get(name)
            if machine is None:
                machine = self.cluster.machines[name] = Machine(
                    name, "", request.machine_type, request.zone, request.spot, now, now
                )
                machine.boot_seen = True
            machine.confirmed = True
        if len(names) < request.count:
            self.instance_offers.refused(offer, self.cluster.held()[offer], now)
        self.cluster.changed = True

    def rental_refused(self, request: RentalRequest, now: timedelta) -> None:
        offer = InstanceOffer(request.machine_type, request.zone, request.spot)
        self.rentals.pop(offer, None)
        self.instance_offers.refused(offer, self.cluster.held()[offer], now)
        self.cluster.changed = True

    def released(self, names: Iterable[str], now: timedelta) -> None:
        for name in names:
            self.releases.discard(name)
            machine_loss.remove_machine(self.cluster, name, now)

    def return_again(self, names: Iterable[str], now: timedelta) -> None:
        """Machines that an earlier leader was returning: the cloud is asked once more at once.

        Its answer makes certain what else would be waited for a lease long.
        """
        for name in names:
            machine = self.cluster.machines.get(name)
            if machine is not None and machine.attempts:
                machine.draining = "an earlier leader returned it"
                machine.release_requested = now
                self.releases.add(name)

    # -- time ------------------------------------------------------------------------------

    def tick(self, now: timedelta, *, may_expire_leases: bool = True) -> None:
        """What is due by the clock alone.

        ``may_expire_leases``: nobody else can have renewed the lease of a worker that we do not
        hear from.
        Where that is not sure, silent machines are returned, and the cloud's answer waited for.
        """
        if self._ticked is not None and now - self._ticked > ABSENCE:
            # Guards against judging machines by our own absence, as after standing still for
            # seconds: reports that came meanwhile are taken first.
            log.info("nothing was looked at for %.1f s", (now - self._ticked).total_seconds())
            self._present_since = now
        self._ticked = now
        if may_expire_leases:
            machine_loss.expire_leases(self.cluster, now)
        self._drain(now)
        self._look_after_machines(now)
        if self._hearing:
            self._log_heard(now)
        if self._last_line is None or now - self._last_line >= LINE_EVERY:
            self._last_line = now
            log.info("%s", self._status_line())

    def wants_cycle(self, now: timedelta) -> bool:
        """Something changed, or the refresh period is over."""
        due = self._last_pass is None or now - self._last_pass >= self.policy.refresh
        return self.cluster.changed or due

    def _log_heard(self, now: timedelta) -> None:
        """How soon after taking over the machines were heard of: until then they get no work."""
        known = [m for m in self.cluster.machines.values() if m.attempts or m.up]
        heard = sum(1 for machine in known if machine.heard is not None)
        while self._hearing and known and heard >= self._hearing[0] * len(known):
            share = self._hearing.pop(0)
            led = (now - self.cluster.began).total_seconds()
            log.info("heard of %.0f%% of %d machines %.1f s after", share * 100, len(known), led)

    def _status_line(self) -> str:
        """Machines and booked accelerators at a glance, for the log."""
        cluster = self.cluster
        parts: list[str] = []
        for spot in (False, True):
            machines = [m for m in cluster.machines.values() if m.spot is spot]
            up = [m for m in machines if m.up and not m.lost]
            running = fetching = 0
            for machine in up:
                for attempt in machine.attempts.values():
                    if attempt.running_since is not None:
                        running += 1
                    else:
                        fetching += 1
            empty = sum(1 for m in up if not m.attempts)
            parts.append(
                f"{'spot' if spot else 'ordinary'}: {len(up)} up ({empty} empty), "
                f"{sum(1 for m in machines if not m.up)} booting, "
                f"{running} tasks running, {fetching} starting"
            )
        waiting = sum(job.waiting_count() for job in cluster.live_jobs())
        return "; ".join([*parts, f"{waiting} tasks waiting"])

    def hold(self, now: timedelta, utc_now: datetime) -> None:
        """Before a pass, where timing is switched on: who is held until when."""
        if self.holding is not None:
            teams = self.plan.teams
            self.holding.refresh(self.policy, teams, self._waited_for, now, utc_now)

    def run_cycle(self, now: timedelta) -> None:
        self._open_cleared(now)
        self._gather(now)
        self.cluster.changed = False
        self._last_pass = now
        may_rent = self.listed and now - self.cluster.began >= COUNTING_TIME
        # What is asked for counts as booting: else it would be rented twice.
        pending = Counter({offer: request.count for offer, request in self.rentals.items()})
        plan = SchedulingCycle(
            self.cluster,
            self.instance_offers,
            self.policy,
            self.timers,
            self._expected(now),
            now,
            may_rent=may_rent,
            pending=pending,
            holding=self.holding,
            by_age=self._by_age,
        ).run()
        self.plan = plan
        plan.held |= self.gathering.kept()
        for needy, victim in plan.kills:
            job = self.cluster.jobs[victim.job_id]
            log.info("%s is stopped to make room for %s", victim.job_id, needy)
            for name in {entry[0] for entry in victim.frees}:
                until = now + grace_to_save(job) + CLEARING_TIME
                self.cluster.machines[name].preempted_for = Preemption(needy, until)
            if victim.index is None:
                self.cluster.stop_job(job, now, save=True)
                continue
            for attempt in list(job.attempts.get(victim.index, ())):
                self.cluster.stop(attempt, grace_to_save(job), now)
        for offer, count in plan.rentals.most_common():
            if offer in self.rentals:
                continue
            self._rentals += 1
            self.rentals[offer] = RentalRequest(
                f"{self.cluster.token}-{self._rentals}",
                offer.machine_type,
                offer.zone,
                offer.spot,
                min(count, MOST_PER_RENTAL),
            )

    def _gather(self, now: timedelta) -> None:
        """Choose the machines that are kept for jobs that have waited for long."""
        content: list[tuple[str, str]] = []
        short: list[tuple[str, str]] = []
        for resource, states in self.plan.teams.items():
            for name, state in states.items():
                due = min(state.minimum, state.demand)
                if state.used + EPSILON >= max(state.share, due):
                    content.append((name, resource))
                elif state.used + EPSILON < due:
                    short.append((name, resource))
        scarce = self.instance_offers.spot_refused(now)
        self.gathering.look(
            self.cluster, self.instance_offers, self.policy, content, short, scarce, now
        )

    def _open_cleared(self, now: timedelta) -> None:
        """Machines that were cleared for a job are open to others again once it needs them no more.

        Until then they are not: what was stopped, or is handed out before, would take the place
        again as long as another task there is still saving, and be stopped again in the next pass.
        """
        for machine in self.cluster.machines.values():
            if machine.preempted_for is not None:
                job = self.cluster.jobs.get(machine.preempted_for[0])
                if job is None or not job.waiting_count() or now >= machine.preempted_for[1]:
                    machine.preempted_for = None

    def _expected(self, now: timedelta) -> list[Expected]:
        """Classes that are to start sooner than a machine boots need warm room."""
        result: list[Expected] = []
        for objective in self.objectives:
            if objective.kind != "wait":
                continue
            arrivals = self._arrivals.get(objective.job_class)
            if arrivals is None or arrivals.spec is None or not arrivals.times:
                continue
            boot_times = [kind.boot_s for kind in self.instance_offers.types.values()]
            if not boot_times or objective.with_timeout >= seconds(min(boot_times)):
                continue
            # A burst is not taken for a rate for long: the median over windows counts.
            rate = sorted(arrivals.rate(now, window) for window in ARRIVAL_WINDOWS)[1]
            spare = SPARE_SPOT if arrivals.spec.spot_allowed else SPARE_ORDINARY
            tasks = max(1, math.ceil(rate * min(boot_times) * spare))
            result.append(Expected(arrivals.spec, tasks, frozenset(arrivals.images)))
        return result

    # -- machines --------------------------------------------------------------------------

    def _drain(self, now: timedelta) -> None:
        """Tasks on machines that are about to be taken save while there is time.

        What can't save, nor end before, is stopped at once: its work is lost in any case, and so
        it starts elsewhere sooner.
        """
        for machine in list(self.cluster.machines.values()):
            if machine.notice_end is None:
                continue
            left = machine.notice_end - now
            for attempt in list(machine.attempts.values()):
                job = self.cluster.jobs[attempt.job_id]
                if attempt.stop is not None or job.over:
                    continue
                if job.can_save and left >= job.save_time:
                    if job.is_gang:
                        self.cluster.stop_job(job, now, save=True)
                    else:
                        self.cluster.stop(attempt, grace_to_save(job), now)
                elif not job.is_gang and not _ends_within(job, attempt, left, now):
                    self.cluster.stop(attempt, ZERO, now)

    def _look_after_machines(self, now: timedelta) -> None:
        silence = self.cluster.lease_expiry
        heard = receives_nothing = 0
        for machine in list(self.cluster.machines.values()):
            if machine.heard is not None and now - machine.heard <= silence:
                heard += 1
                receives_nothing += machine.reachability.receives_nothing
            if machine.release_requested is not None:
                continue
            reason = self._reason_to_return(machine, now, silence)
            if reason is not None:
                log.info("%s is returned: %s", machine.name, reason)
                machine.draining = reason
                machine.release_requested = now
                self.releases.add(machine.name)
                self.cluster.changed = True
            elif machine.draining is None and self._faulty(machine, now):
                machine.draining = "faulty"
                self.cluster.changed = True
            # A greeting can be lost, or be refused since the worker has moved to another session:
            # unless it is repeated, an earlier leader that lost the state service alone could go
            # on answering the worker, and its tasks would be out of our reach.
            ungreeted = bool(machine.attempts) and not machine.has_our_token
            stopping = any(a.stop is not None for a in machine.attempts.values())
            due = now >= self._direct_again.get(machine.name, ZERO)
            if (ungreeted or stopping) and due:
                self.cluster.direct.add(machine.name)
            if (
                machine.reachability.missed
                and machine.reachability.receives_nothing
                and machine.reachability.may_ask(now)
            ):
                # Its answer is the proof that it hears us again.
                self.cluster.asking.add(machine.name)
        for name in self.cluster.direct:
            self._direct_again[name] = now + seconds(2)
        # With so many it is rather our own answers that are lost on the way, whoever they are for.
        self._too_many_deaf = receives_nothing >= FEW_DEAF and receives_nothing > heard * MOST_DEAF

    def _faulty(self, machine: Machine, now: timedelta) -> bool:
        """Errors of several jobs on one machine point to the machine.

        Guards against machines that are emptied for jobs which were submitted with a mistake: one
        that fails elsewhere as well says nothing, and one that runs elsewhere more than one of
        which nothing else is known.
        """
        if len(machine.errors) < 2:
            return False
        points = 0
        for job_id in machine.errors:
            job = self.cluster.jobs.get(job_id)
            if job is None or job.suspect:
                continue
            runs = bool(job.finished) or job.runs_apart(machine.name, now - RUNS_FOR)
            points += SURE_POINTS if runs else 1
        return points >= FAULTY_POINTS

    def _reason_to_return(self, machine: Machine, now: timedelta, silence: timedelta) -> str | None:
        kind = self.cluster.types.get(machine.machine_type)
        if machine.reachability.restarted:
            return "its worker began anew"
        if machine.listed_failed and (machine.lost or not machine.up):
            return "it failed"
        if not machine.up:
            if machine.attempts:
                # Recorded by an earlier leader and silent since: only the cloud can make certain.
                waited = now - self._present_since
                return "it is not heard of" if waited > silence + seconds(3) else None
            if machine.missing_lists > 3 and now - machine.known_since > seconds(60):
                return "it is not listed any more"
            if machine.listed_running:
                # It has booted and is out of reach, as in a zone that was cut off before we led:
                # it is waited for like one that we had heard of.
                quiet = now - max(self._present_since, machine.known_since)
                return "it is silent" if quiet > silence + UNREACHABLE_PATIENCE else None
            usual = seconds(kind.boot_s if kind else 60.0)
            given_up = self.cluster.boot_times.given_up(machine, usual, now)
            return "it does not boot" if given_up else None
        if machine.heard is not None and self._surely_gone(machine, now - machine.heard, now):
            return "it was taken"
        if not machine.has_our_token and not machine.confirmed and self._unknown(machine, now):
            return "nobody knows of it, and it does not answer"
        missed = machine.reachability.missed
        if (
            missed
            and machine.reachability.receives_nothing_for(now) > silence
            and not self._too_many_deaf
        ):
            # Its lease is over, whatever we have answered: what ran on it was moved or is lost.
            return "it reports, but does not hear us"
        if machine.heard is None or now - machine.heard > silence:
            last = machine.reachability.latest if machine.lost else machine.heard
            quiet = now - max(last or machine.up_since or now, self._present_since)
            if machine.missing_lists > 3 or quiet > silence + UNREACHABLE_PATIENCE:
                return "it is silent"
            if machine.attempts and quiet > silence + seconds(3):
                return "it is silent and may still run tasks"
            return None
        for attempt in machine.attempts.values():
            job = self.cluster.jobs[attempt.job_id]
            limit = self.cluster.workers.cancel_timeout - self.cluster.workers.lease
            if job.over and attempt.stop_since and now - attempt.stop_since > limit:
                return "it does not stop a cancelled task"
        if machine.attempts:
            return None
        if machine.notice_end is not None:
            return "it is about to be taken"
        if machine.draining is not None:
            return machine.draining
        if machine.name in self.plan.held or machine.name in self.plan.spare:
            machine.idle_since = now
            return None
        idle = now - (machine.idle_since or now)
        if machine.idle_since is None:
            machine.idle_since = now
        keep = seconds(kind.boot_s if kind else 30.0) * IDLE_SHARE
        if idle > keep and machine.age(now) > MINIMUM_CHARGE - seconds(3):
            return "it is idle"
        return None

    def _unknown(self, machine: Machine, now: timedelta) -> bool:
        """Whether a machine that is known from a report alone, which had not seen our token, should
        have shown it by now.  No record names anything on it, so nothing is lost with it."""
        heartbeat = self.cluster.workers.heartbeat_interval
        return machine.up_since is not None and now - machine.up_since > heartbeat * UNKNOWN_REPORTS

    def _surely_gone(self, machine: Machine, quiet: timedelta, now: timedelta) -> bool:
        """Whether a silent machine is so likely to be gone that asking the cloud for its end beats
        waiting for its lease: the answer makes it certain, and its tasks start elsewhere sooner.
        """
        heartbeat = self.cluster.workers.heartbeat_interval
        if machine.notice_end is not None and now > machine.notice_end:
            return quiet > heartbeat * TAKEN_REPORTS
        return machine.missing_lists > 1 and quiet > heartbeat * SILENT_HEARTBEATS

    # -- what others are told --------------------------------------------------------------

    def counts(self, most: int = 2000) -> list[Counts]:
        result: list[Counts] = []
        for job in self.cluster.live_jobs():
            running = job.running_count()
            if running or job.finished:
                result.append(Counts(job.id, len(job.finished), running))
                if len(result) >= most:
                    break
        return result

    def all_started(self, most: int = 2000) -> list[str]:
        """Jobs of which each task that is not done runs: none of them can start."""
        return [
            job.id
            for job in self.cluster.jobs.values()
            if job.attempts and not job.waiting_count() and not job.may_start
        ][:most]

    def state_counts(self, now: timedelta) -> Counter[str]:
        states: Counter[str] = Counter()
        for job in self.cluster.live_jobs():
            if job.blocked:
                states["blocked"] += 1
            elif self.holding is not None and self.holding.held(job, now) is not None:
                states["held"] += 1
            elif job.running_count():
                states["running"] += 1
            elif job.attempts:
                states["starting"] += 1
            else:
                states["waiting"] += 1
        return states
