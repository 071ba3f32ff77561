"""A random deployment, reproducible by its seed: machines and jobs of several teams.

For tests of the scheduler without controllers, and for `bench/profile_pass.py`.
"""

from __future__ import annotations

import random
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.fleet.instance_offers import InstanceOffers
from micadeal.jobs.model import Job
from micadeal.operator.platform import Objective, Team, Workers
from micadeal.operator.policy import Policy
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.scheduler import Scheduler
from micadeal.wire.cloud import ListedMachine, MachineType
from micadeal.wire.users import Priority, Shape, Submission
from micadeal.wire.workers import Heartbeat, TaskStatus

WORKERS = Workers(seconds(2), seconds(14), seconds(50), seconds(6), seconds(34))
ZONES = ["north", "south", "west"]
TOKEN = 7
BOX = MachineType("box", 16.0, 2.0, 64.0, 70.0, 0.6, 7.0, 45.0, ZONES, 2.5)


class RandomDeployment:
    """A scheduler with running machines and jobs that wait for the first cycle."""

    def __init__(self, machines: int, jobs: int, seed: int = 1, teams: int = 5) -> None:
        self.random = random.Random(seed)
        self.now: timedelta = seconds(100)
        names = [f"team-{i}" for i in range(teams)]
        limits = {n: Team(n, 0.0, machines * 0.5, None, machines * 2.0) for n in names}
        self.cluster = ClusterState(TOKEN, WORKERS, limits, seconds(0))
        objectives = [Objective("wait", "live", seconds(12))]
        self.scheduler = Scheduler(self.cluster, InstanceOffers(), Policy(), objectives, seconds(0))
        self.scheduler.set_catalog([BOX])
        self.sequences: dict[str, int] = {}
        self.count = 0
        self.teams = names
        listed = [
            ListedMachine(
                f"i-{i:06d}", f"10.1.{i >> 8}.{i & 255}:9000", "box",
                ZONES[i % 3], i % 2 == 1, "running", 50.0,
            )
            for i in range(machines)
        ]  # fmt: skip
        self.scheduler.apply_machine_list(listed, self.now)
        for entry in listed:
            self.heartbeat(entry.name)
        for _ in range(jobs):
            self.submit()

    def submit(self, **fields: object) -> Job:
        """Submit a service, array or gang of a random size; ``fields`` replace its values."""
        self.count += 1
        job_class = self.random.choice(["live", "scan", "scan", "train"])
        values: dict[str, object] = {
            "job_id": f"req-{self.count:06d}", "job_class": job_class,
            "team": self.random.choice(self.teams),
            "image": f"{job_class}-{self.random.randrange(16)}", "image_gb": 6.0,
            "estimate_s": 100.0, "cpus": 5.0, "gpus": 1.0, "memory_gb": 20.0,
            "checkpoint_s": 30.0, "save_s": 5.0,
        }  # fmt: skip
        if job_class == "live":
            values |= {
                "shape": Shape.SERVICE, "priority": Priority.PRODUCTION, "spread": True,
                "tasks": self.random.choice([3, 4, 6]), "one_zone": False, "spot_allowed": False,
            }  # fmt: skip
        elif job_class == "scan":
            values |= {
                "shape": Shape.ARRAY, "priority": Priority.STANDARD, "spread": False,
                "tasks": self.random.randrange(5, 60), "one_zone": False, "spot_allowed": True,
                "cpus": round(self.random.uniform(5, 7), 2),
            }  # fmt: skip
        else:
            values |= {
                "shape": Shape.GANG, "priority": Priority.STANDARD, "spread": False,
                "tasks": self.random.choice([1, 2, 4, 8]), "one_zone": True,
                "spot_allowed": False, "cpus": 14.0, "gpus": 2.0, "memory_gb": 51.0,
            }  # fmt: skip
        job = Job(Submission(**(values | fields)), self.now, self.count)  # type: ignore[arg-type]
        self.scheduler.job_added(job, self.now)
        return job

    def heartbeat(self, name: str, done: int = 0) -> None:
        """Send a machine's next heartbeat: ``done`` tasks have ended, all others are running."""
        machine = self.cluster.machines[name]
        sequence = self.sequences[name] = self.sequences.get(name, 0) + 1
        tasks = [
            TaskStatus(a.task, a.number, "running")
            for a in machine.attempts.values()
            if a.start_sent_in is not None and a.stop_grace is None
        ]
        for task in tasks[:done]:
            task.state, task.why = "exited", "done"
        self.scheduler.on_heartbeat(
            Heartbeat(name, machine.address, "box", machine.zone, machine.spot, 1, sequence, TOKEN,
                   None, tasks),
            self.now, is_heartbeat=True, full_authority=True,
        )  # fmt: skip
