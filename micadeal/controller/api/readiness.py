"""Decides whether a controller should serve users now."""

from __future__ import annotations

from collections.abc import Callable

from micadeal.clock import monotonic, seconds
from micadeal.controller.api.endpoints import RETRY_AFTER
from micadeal.controller.feature_levels import FeatureLevels
from micadeal.controller.peer_links import PeerLinks
from micadeal.controller.state_contact import StateContact
from micadeal.http.message import Answer, Request, answer, error

#: A controller without an answer from the state service for this long is not ready, if a peer still
#: gets answers.
MAX_STATE_CONTACT_AGE = seconds(5)
#: A peer's last contact with the state service counts if it is no older than this.  Controllers
#: notice a shared outage up to two seconds apart, since an idle watch is held for that long.  With
#: a larger value the first controller that notices the outage would report not ready, and the load
#: balancer would keep it out of service beyond the end of the outage.
MAX_PEER_STATE_CONTACT_AGE = seconds(2.5)

SHUTTING_DOWN = "this process ends"


class Readiness:
    """Serves ``GET /ready``, and refuses users' requests while they must not be served."""

    def __init__(
        self,
        feature_levels: FeatureLevels,
        state_contact: StateContact,
        peer_links: PeerLinks,
        has_peers: bool,
        catalog_known: Callable[[], bool],
    ) -> None:
        self._feature_levels = feature_levels
        self._state_contact = state_contact
        self._peer_links = peer_links
        self._has_peers = has_peers
        self._catalog_known = catalog_known
        #: Whether this process is about to end.
        self.shutting_down = False

    def refusal(self) -> Answer | None:
        """Return the answer to users while they must not be served here; None if they may be."""
        reason = SHUTTING_DOWN if self.shutting_down else self._feature_levels.refusal
        return None if reason is None else error(503, reason, RETRY_AFTER)

    async def check(self, _request: Request) -> Answer:
        """Answer whether the load balancer should send users to this controller.

        In an outage that all controllers share, each stays ready: otherwise the load balancer would
        add its own delay to the outage.
        """
        reason = self._reason_not_ready()
        return answer(200, {"ready": True}) if reason is None else error(503, reason)

    def _reason_not_ready(self) -> str | None:
        if not self._catalog_known():
            return "the machine types are not known yet"
        if self.shutting_down or self._feature_levels.permanent_refusal is not None:
            return self._feature_levels.permanent_refusal or SHUTTING_DOWN
        contact_age = self._state_contact.age()
        if contact_age is not None and contact_age < MAX_STATE_CONTACT_AGE:
            return None
        peer_contact = self._peer_links.latest_state_contact()
        if peer_contact is not None and monotonic() - peer_contact < MAX_PEER_STATE_CONTACT_AGE:
            return "no touch with the state service"
        if self._has_peers and not self._peer_links.reachable_peers():
            # This controller is cut off from the state service and all peers, while others may be
            # able to serve users: an outage counts as shared only if a peer confirms it.
            return "no touch with the state service and the other controllers"
        return None
