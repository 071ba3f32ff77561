"""Instance offers of the cloud, cheapest first, with backoff after refused rentals.  No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from micadeal.clock import seconds
from micadeal.placement.machine_capacity import EPSILON, placement_allowed, type_fits
from micadeal.wire.cloud import MachineType
from micadeal.wire.users import Submission

#: Backoff of an offer after its first refusal, doubled with each further one in a row.
FIRST_BACKOFF = seconds(6)
MAX_BACKOFF = seconds(40)
#: For this time after a refusal, an offer is assumed to have no more machines than those rented
#: then.
REFUSAL_MEMORY = seconds(120)


@dataclass(frozen=True, slots=True)
class InstanceOffer:
    """A kind of machine that can be rented: a machine type in a zone, as spot or on demand."""

    machine_type: str
    zone: str
    spot: bool


class _Backoff(NamedTuple):
    """No machine of a refused offer is requested before ``until``."""

    duration: timedelta
    until: timedelta


class _Refusal(NamedTuple):
    """The last refusal of an offer."""

    #: Machines of the offer that were rented when more were refused.
    rented: int
    at: timedelta


@dataclass(slots=True)
class InstanceOffers:
    """The cloud's catalog, with an exponential backoff for each refused offer."""

    #: Machine types of the catalog, by name.
    types: dict[str, MachineType] = field(default_factory=dict)
    _backoffs: dict[InstanceOffer, _Backoff] = field(default_factory=dict)
    _refusals: dict[InstanceOffer, _Refusal] = field(default_factory=dict)

    def record_refusal(self, offer: InstanceOffer, rented: int, now: timedelta) -> None:
        """Record that the cloud refused more of an offer while ``rented`` machines were rented."""
        self._refusals[offer] = _Refusal(rented, now)
        last = self._backoffs.get(offer)
        duration = FIRST_BACKOFF if last is None else min(last.duration * 2, MAX_BACKOFF)
        self._backoffs[offer] = _Backoff(duration, now + duration)

    def record_grant(self, offer: InstanceOffer) -> None:
        """Record that the cloud granted machines of an offer, and end its backoff."""
        self._backoffs.pop(offer, None)

    def remaining(self, offer: InstanceOffer, rented: int, now: timedelta) -> int | None:
        """Return how many more machines to expect, judged by the last refusal; None if unknown.

        ``rented``: machines of the offer that are rented now.  Guards against renting part of a
        gang's machines in one zone after another: each time, these machines were returned unused,
        and charged.
        """
        refusal = self._refusals.get(offer)
        if refusal is None or now - refusal.at > REFUSAL_MEMORY:
            return None
        return max(0, refusal.rented - rented)

    def is_backing_off(self, offer: InstanceOffer, now: timedelta) -> bool:
        """Tell whether an offer is in its backoff after a refusal."""
        backoff = self._backoffs.get(offer)
        return backoff is not None and now < backoff.until

    def backing_off(self, now: timedelta) -> list[InstanceOffer]:
        """Return the offers that are in their backoff."""
        return [offer for offer in self._backoffs if self.is_backing_off(offer, now)]

    def all_spot_backing_off(self, now: timedelta) -> bool:
        """Tell whether all spot offers are in their backoff.

        Jobs that may use spot machines may then use on-demand machines as well.
        """
        spot_offers = [
            InstanceOffer(kind.name, zone, True)
            for kind in self.types.values()
            if kind.spot_price is not None
            for zone in kind.zones
        ]
        return not spot_offers or all(self.is_backing_off(offer, now) for offer in spot_offers)

    def can_ever_fit(self, spec: Submission) -> bool:
        """Tell whether a task fits an empty machine of any machine type that the job allows."""
        return any(
            type_fits(spec, kind)
            and any(placement_allowed(spec, kind.name, zone, spot=False) for zone in kind.zones)
            for kind in self.types.values()
        )

    def max_tasks_per_machine(self, spec: Submission) -> int:
        """Return how many of the job's tasks fit one machine of the best type; at least 1."""
        return max((_tasks_per_machine(spec, kind) for kind in self.types.values()), default=1)

    def available(
        self, spec: Submission, now: timedelta, machines_by_zone: Counter[str]
    ) -> Iterator[tuple[InstanceOffer, MachineType]]:
        """Yield the offers that fit a task and are not in their backoff, with their types.

        The cheapest per task come first, and among equals those in zones with the fewest machines.
        ``machines_by_zone``: number of machines by zone.
        """
        candidates: list[tuple[float, int, str, InstanceOffer, MachineType]] = []
        for kind in self.types.values():
            if not type_fits(spec, kind):
                continue
            for spot in (True, False):
                price = kind.spot_price if spot else kind.price
                if price is None:
                    continue
                for zone in kind.zones:
                    offer = InstanceOffer(kind.name, zone, spot)
                    if placement_allowed(spec, kind.name, zone, spot) and not self.is_backing_off(
                        offer, now
                    ):
                        per_task = _price_per_task(spec, kind, price)
                        candidates.append((per_task, machines_by_zone[zone], zone, offer, kind))
        candidates.sort(key=lambda candidate: candidate[:3])
        for _, _, _, offer, kind in candidates:
            yield offer, kind


def _tasks_per_machine(spec: Submission, kind: MachineType) -> int:
    ratios = (
        available / needed
        for available, needed in (
            (kind.gpus, spec.gpus),
            (kind.cpus, spec.cpus),
            (kind.memory_gb, spec.memory_gb),
        )
        if needed > 0
    )
    return max(1, int(min(ratios, default=1.0) + EPSILON))


def _price_per_task(spec: Submission, kind: MachineType, price: float) -> float:
    """Return the price per task on a machine that is full of such tasks."""
    return price / _tasks_per_machine(spec, kind)
