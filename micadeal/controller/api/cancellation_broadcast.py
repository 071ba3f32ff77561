"""Announces cancellations to the leader and the other controllers before users are answered."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from micadeal.actor import MailboxFullError
from micadeal.clock import ZERO, monotonic, seconds
from micadeal.controller.api.confirmation import CancellationConfirmation
from micadeal.controller.follower_leases import FollowerLeases
from micadeal.controller.known_leader import QUERY_TIMEOUT, KnownLeader
from micadeal.controller.messages import HasRemainingTasks, JobCancelled, MayTasksStart
from micadeal.controller.peer_links import PeerLinks
from micadeal.timeouts import sleep

#: How long a cancellation waits until no task of its job can start any more.  Below the timeout of
#: a cancellation notice between controllers.
START_WAIT_TIMEOUT = seconds(0.6)
#: Interval at which a waiting cancellation asks the leader's actor again.
START_WAIT_INTERVAL = seconds(0.05)
#: Cancellations that wait concurrently.  Further ones don't wait: the connections are needed for
#: pings, and the users ask again.
MAX_START_WAITS = 30


class CancellationBroadcaster:
    """Sends cancellations to all controllers, and asks whether tasks may still start."""

    def __init__(
        self,
        leader: KnownLeader,
        peer_links: PeerLinks,
        follower_leases: FollowerLeases | None,
        all_started: Callable[[], frozenset[str]],
    ) -> None:
        """Create a broadcaster.

        ``all_started`` returns the jobs whose unfinished tasks all run, as a leader last reported.
        """
        self._leader = leader
        self._peer_links = peer_links
        self._follower_leases = follower_leases
        self._all_started = all_started
        #: Cancellations not delivered to the leader's actor, since its mailbox was full.
        self._undelivered: list[str] = []
        self.waiting_for_starts = 0

    async def broadcast(self, job_id: str) -> CancellationConfirmation:
        """Announce a cancellation to the leader and to the other controllers.

        Returns what is certain afterwards; the caller decides whether a user may be answered.
        """
        needed_peers = 0
        if self._follower_leases is not None:
            self._follower_leases.add_cancellation(job_id, monotonic())
            needed_peers = self._follower_leases.timing.majority - 1
        actor = self._leader.actor
        if actor is not None:
            await self.tell_leader([job_id])
        may_start_by_peer = await self._peer_links.notify_cancel(job_id, needed_peers)
        if len(may_start_by_peer) >= needed_peers:
            if self._leader.actor is not None:
                may_start = await self.may_tasks_start(job_id)
            elif self._leader.name in may_start_by_peer:
                may_start = may_start_by_peer[self._leader.name]
            else:
                may_start = job_id not in self._all_started()
            no_task_can_start = not may_start and not any(may_start_by_peer.values())
            return CancellationConfirmation(True, no_task_can_start)
        # Without a majority, a leader may confirm the cancellation alone once the job has no task
        # left whose lease another controller could renew.
        try:
            remaining = actor is None or await actor.ask(HasRemainingTasks(job_id), QUERY_TIMEOUT)
        except (MailboxFullError, TimeoutError):
            remaining = True
        return CancellationConfirmation(not remaining, not remaining)

    async def tell_leader(self, job_ids: Iterable[str]) -> bool:
        """Send cancellations to the leader's actor, if this controller leads.

        Returns whether the actor has been sent all of them, earlier undelivered ones included.

        Guards ``ran_cancelled``: a cancellation that finds the mailbox full is kept for a retry.
        It is already on this controller's list, so a peer's list would not report it as new again.
        """
        self._undelivered += job_ids
        while self._undelivered:
            # Removed before the await: concurrent calls may send cancellations meanwhile.
            job_id = self._undelivered.pop(0)
            if not await self._leader.tell(JobCancelled(job_id)):
                self._undelivered.insert(0, job_id)
                return False
        return True

    def forget_undelivered(self) -> None:
        """Discard undelivered cancellations: the next term begins by reading all records."""
        self._undelivered.clear()

    async def may_tasks_start(self, job_id: str) -> bool:
        """Return whether a task of a cancelled job may still start, according to the leader.

        Waits for a short time for the workers to confirm the stop commands.
        """
        may_wait = self.waiting_for_starts < MAX_START_WAITS
        deadline = monotonic() + START_WAIT_TIMEOUT
        self.waiting_for_starts += may_wait
        try:
            while (actor := self._leader.actor) is not None:
                if actor.loading:
                    return job_id not in self._all_started()
                remaining = deadline - monotonic()
                if remaining <= ZERO:
                    return True
                if not await actor.ask(MayTasksStart(job_id), remaining):
                    return False
                if not may_wait:
                    return True
                await sleep(START_WAIT_INTERVAL)
        except (MailboxFullError, TimeoutError):
            return True
        finally:
            self.waiting_for_starts -= may_wait
        return True
