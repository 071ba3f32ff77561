"""What the cloud can be asked for, cheapest first, and what it refused lately.  Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.placement.bin_packing import allowed, type_fits
from micadeal.wire.cloud import MachineType
from micadeal.wire.users import Submission

FIRST_PAUSE = seconds(6)
LONGEST_PAUSE = seconds(40)
#: For so long a refusal is taken to tell how many machines can be had.
REFUSAL_MEMORY = seconds(120)


@dataclass(frozen=True, slots=True)
class InstanceOffer:
    machine_type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class InstanceOffers:
    """The catalog, and a pause for each offer that was refused: doubled with every refusal."""

    types: dict[str, MachineType] = field(default_factory=dict)
    _until: dict[InstanceOffer, timedelta] = field(default_factory=dict)
    _pause: dict[InstanceOffer, timedelta] = field(default_factory=dict)
    #: How many machines we held of an offer when more were refused, and when that was.
    _most: dict[InstanceOffer, tuple[int, timedelta]] = field(default_factory=dict)

    def refused(self, offer: InstanceOffer, held: int, now: timedelta) -> None:
        self._most[offer] = (held, now)
        pause = min(self._pause.get(offer, FIRST_PAUSE / 2) * 2, LONGEST_PAUSE)
        self._pause[offer] = pause
        self._until[offer] = now + pause

    def granted(self, offer: InstanceOffer) -> None:
        self._pause.pop(offer, None)
        self._until.pop(offer, None)

    def left(self, offer: InstanceOffer, held: int, now: timedelta) -> int | None:
        """How many more can be had, as far as the last refusal tells; None: not known.

        Guards against renting part of a gang's machines in one zone after the other: each time
        what had come was returned idle, and charged.
        """
        found = self._most.get(offer)
        if found is None or now - found[1] > REFUSAL_MEMORY:
            return None
        return max(0, found[0] - held)

    def paused(self, offer: InstanceOffer, now: timedelta) -> bool:
        until = self._until.get(offer)
        return until is not None and now < until

    def any_paused(self, now: timedelta) -> list[InstanceOffer]:
        return [offer for offer in self._until if self.paused(offer, now)]

    def spot_refused(self, now: timedelta) -> bool:
        """Every spot offer was refused lately: what may use spot may then use ordinary too."""
        spots = [
            InstanceOffer(kind.name, zone, True)
            for kind in self.types.values()
            if kind.spot_price is not None
            for zone in kind.zones
        ]
        return not spots or all(self.paused(offer, now) for offer in spots)

    def can_ever_fit(self, spec: Submission) -> bool:
        return any(
            type_fits(spec, kind)
            and any(allowed(spec, kind.name, zone, spot=False) for zone in kind.zones)
            for kind in self.types.values()
        )

    def most_on_one(self, spec: Submission) -> int:
        """How many tasks of this size one machine takes at most; one at least."""
        return max((_per_machine(spec, kind) for kind in self.types.values()), default=1)

    def choices(
        self, spec: Submission, now: timedelta, present: Counter[str]
    ) -> Iterator[tuple[InstanceOffer, MachineType]]:
        """Offers for a task: cheapest kind first, then zones with the fewest machines."""
        found: list[tuple[float, int, str, InstanceOffer, MachineType]] = []
        for kind in self.types.values():
            if not type_fits(spec, kind):
                continue
            for spot in (True, False):
                price = kind.spot_price if spot else kind.price
                if price is None:
                    continue
                for zone in kind.zones:
                    offer = InstanceOffer(kind.name, zone, spot)
                    if allowed(spec, kind.name, zone, spot) and not self.paused(offer, now):
                        found.append(
                            (_per_task(spec, kind, price), present[zone], zone, offer, kind)
                        )
        found.sort(key=lambda entry: entry[:3])
        for _, _, _, offer, kind in found:
            yield offer, kind


def _per_machine(spec: Submission, kind: MachineType) -> int:
    ratios: Iterable[float] = (
        have / need
        for have, need in (
            (kind.gpus, spec.gpus),
            (kind.cpus, spec.cpus),
            (kind.memory_gb, spec.memory_gb),
        )
        if need > 0
    )
    return max(1, int(min(ratios, default=1.0) + 1e-6))


def _per_task(spec: Submission, kind: MachineType, price: float) -> float:
    """Price per task of this size on a full machine."""
    return price / _per_machine(spec, kind)
