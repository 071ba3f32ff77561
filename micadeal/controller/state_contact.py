"""Contact of one controller with the state service."""

from __future__ import annotations

from datetime import timedelta

from micadeal.clock import monotonic
from micadeal.controller.follower_leases import STATE_CONTACT_TIMEOUT
from micadeal.state.service import StateService


class StateContact:
    """Tells a controller's components whether the state service is reachable."""

    def __init__(self, state: StateService) -> None:
        self._state = state

    def age(self) -> timedelta | None:
        """Return the time since the last answer; None: there was none."""
        answered = self._state.last_response_at
        return None if answered is None else monotonic() - answered

    def reachable(self) -> bool:
        """Return whether the last answer is recent enough to treat the service as reachable."""
        age = self.age()
        return age is not None and age < STATE_CONTACT_TIMEOUT
