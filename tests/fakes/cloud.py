"""An in-memory cloud that follows the protocol: idempotent rentals, a delayed list, refusals."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import product
from typing import Any

from micadeal.clock import monotonic
from micadeal.http.message import Answer, Request, answer, error
from micadeal.wire.codec import decode

ADDRESS = "10.2.0.2:8443"
HOST = "cloud"


@dataclass
class RentedMachine:
    """A rented machine.  Times are in seconds on the monotonic clock."""

    name: str
    address: str
    zone: str
    spot: bool
    rented_at: float
    #: When its boot ends; None if it never boots.
    up_at: float | None
    running: bool = False


class FakeCloud:
    """Rents, lists and releases machines.

    ``boot`` starts a worker on a machine.  ``kill`` ends the worker and all tasks on it.
    ``capacity`` is the number of machines per zone, for spot and on-demand machines each.
    ``lag_s`` is the age of the returned list of machines.
    """

    def __init__(
        self,
        zones: list[str],
        boot: Callable[[RentedMachine], Awaitable[None]],
        kill: Callable[[str], None],
        boot_s: float = 10.0,
        capacity: int = 10,
        lag_s: float = 3.0,
    ) -> None:
        self._zones = zones
        self._boot = boot
        self._kill = kill
        self.boot_s = boot_s
        self.capacity = dict.fromkeys(product(zones, (False, True)), capacity)
        self._lag_s = lag_s
        self.machines: dict[str, RentedMachine] = {}
        #: Names rented by each request: a repeated request returns them and rents nothing.
        self._names_by_request: dict[str, list[str]] = {}
        self._history: list[tuple[float, list[dict[str, Any]]]] = []
        self._machines_rented = 0
        #: Machines that never boot, by number.  The first rented machine is number 1.
        self.never_boot: set[int] = set()
        #: Multiplies the boot time of machines rented from now on.
        self.boot_time_factor = 1.0
        self.rentals = 0
        self.releases: list[str] = []

    def catalog(self) -> dict[str, Any]:
        """Return the answer to ``GET /catalog``."""
        return {
            "rigs": [
                {
                    "sku": "box", "vcpus": 8.0, "accelerators": 2.0, "ram_gb": 64.0,
                    "local_gb": 50.0, "fetch_gb_per_s": 1.0, "hourly": 6.0, "low_price": 2.0,
                    "boot_s": self.boot_s, "depots": self._zones,
                }
            ]
        }  # fmt: skip

    async def step(self) -> None:
        """Finish boots that are due and record the current list of machines."""
        now = monotonic().total_seconds()
        for machine in list(self.machines.values()):
            if not machine.running and machine.up_at is not None and now >= machine.up_at:
                machine.running = True
                await self._boot(machine)
        self._history.append(
            (
                now,
                [
                    {
                        "name_id": machine.name, "addr": machine.address, "rig": "box",
                        "depot": machine.zone, "loaners": machine.spot,
                        "status": "running" if machine.running else "booting",
                        "held_s": now - machine.rented_at,
                    }
                    for machine in self.machines.values()
                ],
            )
        )  # fmt: skip
        self._history = [entry for entry in self._history if entry[0] >= now - 3 * self._lag_s]

    async def add(self, zone: str, spot: bool, boot_s: float) -> str:
        """Rent one machine whose boot takes ``boot_s`` seconds; return its name."""
        self._machines_rented += 1
        name = f"i-{self._machines_rented:06d}"
        now = monotonic().total_seconds()
        up_at = None if self._machines_rented in self.never_boot else now + boot_s
        self.machines[name] = RentedMachine(
            name,
            f"10.1.{self._machines_rented // 250}.{self._machines_rented % 250 + 1}:9000",
            zone,
            spot,
            now,
            up_at,
        )
        return name

    def remove_machine(self, name: str) -> None:
        """Remove a machine immediately: the cloud reclaims a spot machine, or a machine fails."""
        self.machines.pop(name, None)
        self._kill(name)

    async def handle(self, request: Request) -> Answer:
        """Answer a request to the cloud's API."""
        if request.path == "/catalog":
            return answer(200, self.catalog())
        if request.path == "/rentals/release":
            for name in decode(dict, request.body)["hosts"]:
                if name in self.machines:
                    machine = self.machines[name]
                    self.capacity[machine.zone, machine.spot] += 1
                    self.releases.append(name)
                    self.remove_machine(name)
            return answer(200, {})
        if request.method == "POST":
            return await self._rent(decode(dict, request.body))
        now = monotonic().total_seconds()
        visible = [entries for at, entries in self._history if at <= now - self._lag_s]
        return answer(200, {"hosts": visible[-1] if visible else [], "has_next": False})

    async def _rent(self, rental: dict[str, Any]) -> Answer:
        if rental["hire"] in self._names_by_request:
            return answer(200, {"hosts": self._names_by_request[rental["hire"]]})
        zone_and_spot = (rental["depot"], rental["loaners"])
        count = min(rental["how_many"], self.capacity[zone_and_spot])
        if not count:
            return error(503, "no capacity")
        self.capacity[zone_and_spot] -= count
        self.rentals += count
        names = [
            await self.add(*zone_and_spot, boot_s=self.boot_s * self.boot_time_factor)
            for _ in range(count)
        ]
        self._names_by_request[rental["hire"]] = names
        return answer(200, {"hosts": names})
