"""What the leader asks of others: workers, the state service, the cloud.

Each method is one errand, run as a task of its own; its outcome is told to the leader's actor.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
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

DIRECT_TIME = seconds(3)


class OutboundCalls:
    """``resign`` is called when another leader is found to exist, ``moved`` when the fence of our
    own term is another than the one that a write depended on.  ``entitled``: whether we still lead
    with full power, asked anew before anything goes to the cloud: what was decided before this
    process stood still for seconds may be another leader's to decide by now."""

    def __init__(
        self,
        token: int,
        state: StateService,
        cloud: Cloud,
        network: Network,
        tell: Callable[[Any], Awaitable[None]],
        resign: Callable[[], None],
        moved: Callable[[], None],
        entitled: Callable[[], bool],
    ) -> None:
        self._token = token
        self._state = state
        self._cloud = cloud
        self._network = network
        self._tell = tell
        self._resign = resign
        self._moved = moved
        self._entitled = entitled

    async def direct(self, name: str, address: str, message: DirectCommands) -> None:
        """Command one worker; its report is told, or that there is none."""
        heartbeat: Heartbeat | None = None
        asked = monotonic()
        try:
            _, body = await self._network.client(address, 0).request(
                "POST", "/commands", encode(message), timeout=DIRECT_TIME
            )
            heartbeat = decode(Heartbeat, body)
        except (HttpError, ValueError) as problem:
            log.debug("%s could not be commanded: %s", name, problem)
        # Guards ``ran_cancelled``: one that is never told of as over is never asked again.
        await self._tell(DirectCommandResult(name, heartbeat, asked))

    async def write(self, changes: WriteBatch, fence: int) -> None:
        """Write a batch; every change depends on our still being the leader, and on the version
        last known of its key, so that a batch applied late can't undo a newer one."""
        conditions = [Condition(LEADER, fence), *changes.conditions]
        revision: int | None = None
        found: dict[str, Item | None] | None = None
        refused = False
        try:
            revision = await self._state.commit(
                conditions, changes.operations, changes.urgency, timeout=seconds(3)
            )
        except ConflictError:
            found = await self._read_back(changes, fence)
        except RequestRejectedError:
            refused = True
            found = await self._read_back(changes, fence)
        except StateServiceError as problem:
            log.debug("a write failed: %s", problem)
            await sleep(seconds(0.2))
            found = await self._read_back(changes, fence)
        await self._tell(WriteCompleted(changes, revision, found, refused))

    async def _read_back(self, changes: WriteBatch, fence: int) -> dict[str, Item | None]:
        """After a failed or unknown outcome: what the service holds now."""
        while True:
            try:
                leader = await self._state.get(LEADER, Urgency.LEASE)
                # One that can't be read is nobody's: whoever wrote it, we do not lead by it.
                leader_lock = read([] if leader is None else [leader], 0)
                if leader_lock.token != self._token:
                    self._resign()
                elif leader_lock.fence != fence:
                    self._moved()
                return {
                    condition.key: await self._state.get(condition.key, Urgency.PLACEMENT)
                    for condition in changes.conditions
                }
            except StateServiceError:
                await sleep(seconds(0.3))

    async def rent(self, request: RentalRequest) -> None:
        """Ask until there is a definite answer: the same name never rents twice."""
        names: list[str] | None = None
        while True:
            try:
                if not self._entitled():
                    raise CloudError("we do not lead for certain at the moment")
                names = await self._cloud.rent(request)
                break
            except NoCapacityError:
                break
            except CloudError as problem:
                log.debug("renting: %s", problem)
                await sleep(seconds(1))
        log.info("rental of %d %s: %s", request.count, request, names)
        await self._tell(RentalCompleted(request, names))

    async def release(self, names: list[str]) -> None:
        done = False
        try:
            if not self._entitled():
                raise CloudError("we do not lead for certain at the moment")
            await self._cloud.release(names)
            done = True
        except CloudError as problem:
            log.debug("returning machines: %s", problem)
            await sleep(seconds(0.5))
        await self._tell(ReleaseCompleted(names, done))
