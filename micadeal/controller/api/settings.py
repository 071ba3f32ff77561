"""Serves the operators' settings, which are stored in the state service."""

from __future__ import annotations

from micadeal.clock import utc_now
from micadeal.controller.api.endpoints import RETRY_AFTER
from micadeal.http.message import Answer, Request, answer, error
from micadeal.operator.script import check_highest_level, policy_from_values
from micadeal.schema.decoding import decode_item
from micadeal.schema.keys import SETTINGS
from micadeal.state.service import (
    ConflictError,
    RequestRejectedError,
    StateService,
    StateServiceError,
    Urgency,
)
from micadeal.wire.codec import decode
from micadeal.wire.state import Condition, Put, SettingsRecord


class SettingsApi:
    """Serves ``GET`` and ``POST /settings`` on any controller."""

    def __init__(self, state: StateService) -> None:
        self._state = state

    async def show(self, _request: Request) -> Answer:
        """Answer with the stored settings; with empty ones if there are none."""
        try:
            item = await self._state.get(SETTINGS)
        except StateServiceError:
            return _unavailable()
        if item is None:
            return answer(200, SettingsRecord(""))
        record = decode_item(item, SettingsRecord)
        if record is None:
            return error(500, "the stored settings are unreadable: apply them anew")
        return answer(200, record)

    async def apply(self, request: Request) -> Answer:
        """Store settings.

        The client has evaluated the script; the resulting values are validated again before they
        are stored.
        """
        try:
            received = decode(SettingsRecord, request.body)
            policy_from_values(received.values)
            check_highest_level(received.highest_level)
        except ValueError as problem:
            return error(400, str(problem))
        record = SettingsRecord(
            received.script, utc_now().timestamp(), received.values, received.highest_level
        )
        if not self._state.current_limits.fits(record):
            return _too_large()
        return await self._store(record)

    async def _store(self, record: SettingsRecord) -> Answer:
        try:
            # Compare-and-swap: otherwise a transaction whose answer was lost could be applied after
            # a newer one, and restore an old script.
            item = await self._state.get(SETTINGS)
            unchanged = Condition(SETTINGS, 0 if item is None else item.version)
            await self._state.commit([unchanged], [Put(SETTINGS, record)], Urgency.USER)
        except ConflictError:
            return error(409, "the settings were changed meanwhile: look at them and apply again")
        except RequestRejectedError:
            # The service's limits have been lowered since this controller was started.
            return _too_large()
        except StateServiceError:
            return _unavailable()
        return answer(200, record)


def _too_large() -> Answer:
    return error(400, "the script is too large for the state service")


def _unavailable() -> Answer:
    return error(503, "the state service does not answer", RETRY_AFTER)
