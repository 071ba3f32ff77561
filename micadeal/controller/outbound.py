"""Sends the leader's requests to workers, the state service and the cloud.

Each public method of ``OutboundCalls`` runs as a separate task and reports its result to the
leader's actor.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from micadeal.clock import monotonic, seconds
from micadeal.controller.messages import (
    DirectCommandResult,
    ReleaseCompleted,
    RentalCompleted,
    WriteCompleted,
)
from micadeal.controller.persistence.batches import WriteBatch
from micadeal.fleet.cloud import Cloud, CloudError, NoCapacityError
from micadeal.http.message import HttpError
from micadeal.http.network import Network
from micadeal.rollout.leader_lock import read
from micadeal.schema.keys import LEADER
from micadeal.state.service import (
    ConflictError,
    RequestRejectedError,
    StateService,
    StateServiceError,
    Urgency,
)
from micadeal.timeouts import sleep
from micadeal.wire.cloud import RentalRequest
from micadeal.wire.codec import decode, encode
from micadeal.wire.state import Condition, Item
from micadeal.wire.workers import DirectCommands, Heartbeat

log = logging.getLogger(__name__)

DIRECT_COMMAND_TIMEOUT = seconds(3)
WRITE_TIMEOUT = seconds(3)
#: Delays after a failure, before the next request or the report to the actor.
WRITE_RETRY_INTERVAL = seconds(0.2)
READ_RETRY_INTERVAL = seconds(0.3)
RENTAL_RETRY_INTERVAL = seconds(1)
#: The actor repeats the request once the failure is reported.
RELEASE_RETRY_INTERVAL = seconds(0.5)


@dataclass(frozen=True, slots=True)
class TermCallbacks:
    """Callbacks from the requests of one term to its leader."""

    #: Sends a result to the leader's actor, which never rejects it.
    tell: Callable[[Any], Awaitable[None]]
    #: Called when another leader is found to exist.
    resign: Callable[[], None]
    #: Called when the fencing version of this term is not the one that a write depended on.
    fence_changed: Callable[[], None]
    #: Returns whether the term still has full authority.  Called before every request to the cloud:
    #: the process may have been suspended since the decision, and another leader may act by now.
    has_full_authority: Callable[[], bool]


class OutboundCalls:
    """Sends the requests of one term; ``token`` is the term's fencing token."""

    def __init__(
        self,
        token: int,
        state: StateService,
        cloud: Cloud,
        network: Network,
        callbacks: TermCallbacks,
    ) -> None:
        self._token = token
        self._state = state
        self._cloud = cloud
        self._network = network
        self._callbacks = callbacks

    async def send_direct_commands(
        self, machine: str, address: str, message: DirectCommands
    ) -> None:
        """Send commands to one worker, and report its answer or the lack of one."""
        heartbeat: Heartbeat | None = None
        sent_at = monotonic()
        try:
            _, body = await self._network.client(address, 0).request(
                "POST", "/commands", encode(message), timeout=DIRECT_COMMAND_TIMEOUT
            )
            heartbeat = decode(Heartbeat, body)
        except (HttpError, ValueError) as problem:
            log.debug(
                "direct command failed: machine=%s token=%d reason=%s",
                machine,
                self._token,
                problem,
            )
        # Guards ``ran_cancelled``: a result is reported in every case, since the machine gets no
        # further direct command before that.
        await self._callbacks.tell(DirectCommandResult(machine, heartbeat, sent_at))

    async def write(self, batch: WriteBatch, fence: int) -> None:
        """Write a batch and report the outcome.

        Every change is conditional on this term and on the last known version of its key, so a
        batch that is applied late can't undo a newer one.
        """
        conditions = [Condition(LEADER, fence), *batch.conditions]
        revision: int | None = None
        current_items: dict[str, Item | None] | None = None
        rejected = False
        try:
            revision = await self._state.commit(
                conditions, batch.operations, batch.urgency, timeout=WRITE_TIMEOUT
            )
        except ConflictError:
            current_items = await self._read_back(batch, fence)
        except RequestRejectedError:
            rejected = True
            current_items = await self._read_back(batch, fence)
        except StateServiceError as problem:
            log.debug("record write failed: token=%d reason=%s", self._token, problem)
            await sleep(WRITE_RETRY_INTERVAL)
            current_items = await self._read_back(batch, fence)
        await self._callbacks.tell(WriteCompleted(batch, revision, current_items, rejected))

    async def _read_back(self, batch: WriteBatch, fence: int) -> dict[str, Item | None]:
        """Read the current records after a write that failed or has an unknown outcome."""
        while True:
            try:
                leader = await self._state.get(LEADER, Urgency.LEASE)
                # An unreadable record has token 0, so this term counts as over.
                leader_lock = read([] if leader is None else [leader], 0)
                if leader_lock.token != self._token:
                    self._callbacks.resign()
                elif leader_lock.fence != fence:
                    self._callbacks.fence_changed()
                return {
                    condition.key: await self._state.get(condition.key, Urgency.PLACEMENT)
                    for condition in batch.conditions
                }
            except StateServiceError:
                await sleep(READ_RETRY_INTERVAL)

    async def rent(self, request: RentalRequest) -> None:
        """Rent machines, and retry until there is a definite answer.

        Retries are safe: requests of the same name never rent twice.
        """
        while True:
            try:
                machine_names = await self._try_rent(request)
                break
            except CloudError as problem:
                log.debug(
                    "rental failed: request=%s token=%d reason=%s",
                    request.request,
                    self._token,
                    problem,
                )
                await sleep(RENTAL_RETRY_INTERVAL)
        log.info(
            "rental completed: request=%s token=%d count=%d type=%s zone=%s spot=%s machines=%s",
            request.request,
            self._token,
            request.count,
            request.machine_type,
            request.zone,
            request.spot,
            machine_names,
        )
        await self._callbacks.tell(RentalCompleted(request, machine_names))

    async def _try_rent(self, request: RentalRequest) -> list[str] | None:
        """Send the request once; return None if the cloud has no capacity."""
        self._require_full_authority()
        try:
            return await self._cloud.rent(request)
        except NoCapacityError:
            return None

    async def release(self, machine_names: list[str]) -> None:
        """Return machines to the cloud, and report whether it accepted the request."""
        accepted = False
        try:
            self._require_full_authority()
            await self._cloud.release(machine_names)
            accepted = True
        except CloudError as problem:
            log.debug(
                "release failed: machines=%s token=%d reason=%s",
                machine_names,
                self._token,
                problem,
            )
            await sleep(RELEASE_RETRY_INTERVAL)
        await self._callbacks.tell(ReleaseCompleted(machine_names, accepted))

    def _require_full_authority(self) -> None:
        if not self._callbacks.has_full_authority():
            raise CloudError("this leader does not have full authority")
