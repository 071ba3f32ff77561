"""Whether a controller should serve users at the moment."""

from __future__ import annotations

from collections.abc import Callable

from micadeal.clock import monotonic, seconds
from micadeal.controller.api.endpoints import RETRY_AFTER
from micadeal.controller.feature_levels import FeatureLevels
from micadeal.controller.peer_links import PeerLinks
from micadeal.controller.state_contact import StateContact
from micadeal.http.message import Answer, Request, answer, error

#: Without an answer of the state service for this long, a controller whose peers have one is of no
#: use to users.
MAX_STATE_CONTACT_AGE = seconds(5)
#: A peer's last contact with the state service counts if it is no older than this.  Controllers
#: notice an outage that all share up to two seconds apart, since an idle watch is held that long.
#: With a larger value the first would drop out, and the load balancer would keep it out after the
#: outage.
MAX_PEER_STATE_CONTACT_AGE = seconds(2.5)

SHUTTING_DOWN = "this process ends"


class Readiness:
    """Serves ``GET /ready``, and refuses users while this controller must not serve them."""

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
        #: This process is about to end.
        self.shutting_down = False

    def refusal(self) -> Answer | None:
        """Return the answer to users if records can't be read, or must not be written, here."""
        reason = SHUTTING_DOWN if self.shutting_down else self._feature_levels.refusal
        return None if reason is None else error(503, reason, RETRY_AFTER)

    async def check(self, _request: Request) -> Answer:
        """Answer whether users are better served here than elsewhere.

        In an outage that all controllers share, dropping out would only add the load balancer's
        pause to it.
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
            # Cut off from the state service and from all peers, we can't serve anybody while
            # others may: an outage counts as shared only if a peer confirms it.
            return "no touch with the state service and the other controllers"
        return None
