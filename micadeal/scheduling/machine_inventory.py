"""Machines that the cloud lists, rents and takes back: the leader's side of scaling out and in."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.fleet.instance_offers import InstanceOffer, InstanceOffers
from micadeal.fleet.machines import Machine
from micadeal.scheduling import machine_loss
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.scale_in import ReturnReason
from micadeal.wire.cloud import ListedMachine, RentalRequest

#: Maximum number of machines in one rental request.
MAX_PER_RENTAL = 50
#: Status of a machine in the cloud's list.
LISTED_BOOTING = "booting"
LISTED_RUNNING = "running"
LISTED_FAILED = "failed"


class MachineInventory:
    """Keeps the machines of the cluster state consistent with the cloud's answers."""

    def __init__(self, cluster: ClusterState, instance_offers: InstanceOffers) -> None:
        self._cluster = cluster
        self._offers = instance_offers
        #: Whether the cloud's list has been read in this term.
        self.listed = False
        #: Rental requests that the cloud has not answered yet, at most one for each offer.
        self.pending_rental_requests: dict[InstanceOffer, RentalRequest] = {}
        #: Machines to be returned; each stays here until the cloud confirms its return.
        self.pending_returns: set[str] = set()
        self._rental_count = 0

    # -- the cloud's list ------------------------------------------------------------------

    def apply_machine_list(self, listed: Iterable[ListedMachine], now: timedelta) -> None:
        """Apply the cloud's list of all machines."""
        self.listed = True
        present: set[str] = set()
        for entry in listed:
            present.add(entry.name)
            if entry.name not in self._cluster.removed_machines:
                self._update_listed(entry, now)
        for machine in self._cluster.machines.values():
            if machine.name not in present and machine.listed:
                machine.absent_list_count += 1

    def _update_listed(self, entry: ListedMachine, now: timedelta) -> None:
        rented_at = now - seconds(entry.age_s)
        machine = self._cluster.machines.get(entry.name)
        if machine is None:
            # Rented by an earlier leader, or by a request that the cloud executed late.
            machine = Machine(
                entry.name,
                entry.address,
                entry.machine_type,
                entry.zone,
                entry.spot,
                now,
                rented_at,
            )
            self._cluster.machines[entry.name] = machine
            self._cluster.changed = True
        machine.rented_at = min(machine.rented_at, rented_at)
        machine.address = machine.address or entry.address
        machine.absent_list_count = 0
        machine.listed = machine.confirmed = True
        machine.listed_failed |= entry.status == LISTED_FAILED
        machine.listed_running |= entry.status == LISTED_RUNNING
        machine.boot_seen |= entry.status == LISTED_BOOTING and not machine.up

    # -- scale out -------------------------------------------------------------------------

    def pending_rentals(self) -> Counter[InstanceOffer]:
        """Return the number of machines in unanswered rental requests, by offer."""
        return Counter(
            {offer: request.count for offer, request in self.pending_rental_requests.items()}
        )

    def request_rentals(self, wanted: Counter[InstanceOffer]) -> None:
        """Create rental requests for the offers that have none pending."""
        for offer, count in wanted.most_common():
            if offer in self.pending_rental_requests:
                continue
            self._rental_count += 1
            self.pending_rental_requests[offer] = RentalRequest(
                f"{self._cluster.token}-{self._rental_count}",
                offer.machine_type,
                offer.zone,
                offer.spot,
                min(count, MAX_PER_RENTAL),
            )

    def rental_granted(self, request: RentalRequest, names: list[str], now: timedelta) -> None:
        """Apply a granted request; fewer machines than requested count as a refusal of more."""
        offer = _offer_of(request)
        self.pending_rental_requests.pop(offer, None)
        self._offers.record_grant(offer)
        for name in names:
            if name in self._cluster.removed_machines:
                continue
            machine = self._cluster.machines.get(name)
            if machine is None:
                machine = self._cluster.machines[name] = Machine(
                    name, "", request.machine_type, request.zone, request.spot, now, now
                )
                machine.boot_seen = True
            machine.confirmed = True
        if len(names) < request.count:
            self._offers.record_refusal(offer, self._cluster.machines_by_offer()[offer], now)
        self._cluster.changed = True

    def rental_refused(self, request: RentalRequest, now: timedelta) -> None:
        """Apply a refused request."""
        offer = _offer_of(request)
        self.pending_rental_requests.pop(offer, None)
        self._offers.record_refusal(offer, self._cluster.machines_by_offer()[offer], now)
        self._cluster.changed = True

    # -- scale in --------------------------------------------------------------------------

    def retry_returns(self, names: Iterable[str], now: timedelta) -> None:
        """Request again the return of machines that an earlier leader was returning.

        The cloud's answer proves that their tasks are gone before their leases expire.
        """
        for name in names:
            machine = self._cluster.machines.get(name)
            if machine is not None and machine.attempts:
                self.request_return(machine, ReturnReason.RETURNED_EARLIER, now)

    def request_return(self, machine: Machine, reason: str, now: timedelta) -> None:
        """Request the return of the machine."""
        machine.draining = reason
        machine.release_requested = now
        self.pending_returns.add(machine.name)

    def return_confirmed(self, names: Iterable[str], now: timedelta) -> None:
        """Remove machines after the cloud has confirmed that they are gone."""
        for name in names:
            self.pending_returns.discard(name)
            machine_loss.remove_machine(self._cluster, name, now)


def _offer_of(request: RentalRequest) -> InstanceOffer:
    return InstanceOffer(request.machine_type, request.zone, request.spot)
