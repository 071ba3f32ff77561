"""Combines checks of whether keys still have the version last read into few requests.

Users poll each job every few seconds.  With one read per poll, a few hundred jobs would use up the
request limit of the state service.  The leader's writes would wait behind these reads: placements
and ends of jobs would be delayed by minutes, and polls would be refused as well.  A transaction
without changes compares many keys in one request.  Its result rests on a read that began after
each of the checks was requested.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

import curio

from micadeal.state.errors import RequestRejectedError, StateServiceError
from micadeal.state.service import StateService, Urgency
from micadeal.timeouts import sleep
from micadeal.wire.state import Condition

#: Checks that are requested within this time share a request.
BATCH_INTERVAL = timedelta(milliseconds=60)


class _VersionCheck:
    """One caller's check, and its result once ``answered`` is set."""

    __slots__ = ("answered", "error", "key", "unchanged", "version")

    def __init__(self, key: str, version: int) -> None:
        self.key = key
        self.version = version
        self.answered = curio.Event()
        self.unchanged = False
        self.error: StateServiceError | None = None


class VersionCheckCoalescer:
    """Answers version checks of many callers with as few requests as the limits allow."""

    def __init__(self, state: StateService) -> None:
        self._state = state
        self._pending: list[_VersionCheck] = []
        self._batch_scheduled = False

    async def is_unchanged(self, key: str, version: int) -> bool:
        """Return whether ``key`` still has ``version``; the read begins after this call.

        False may also mean that the version was not compared; the caller then has to read the key.
        Raises ``StateServiceError`` if the service gave no usable answer.
        """
        return key in await self.unchanged_keys({key: version})

    async def unchanged_keys(self, versions: Mapping[str, int]) -> set[str]:
        """Return the keys that still have the given version; see ``is_unchanged``."""
        checks = [_VersionCheck(key, version) for key, version in versions.items()]
        self._pending += checks
        if checks and not self._batch_scheduled:
            self._batch_scheduled = True
            await curio.spawn(self._send_batches, daemon=True)
        for check in checks:
            await check.answered.wait()
            if check.error is not None:
                raise check.error
        return {check.key for check in checks if check.unchanged}

    async def _send_batches(self) -> None:
        await sleep(BATCH_INTERVAL)
        self._batch_scheduled = False
        pending, self._pending = self._pending, []
        batch_size = self._state.limits.conditions
        for start in range(0, len(pending), batch_size):
            await curio.spawn(self._compare, pending[start : start + batch_size], daemon=True)

    async def _compare(self, checks: list[_VersionCheck]) -> None:
        # If callers know different versions of one key, the last one is compared.  The other
        # callers get False and read the key themselves.
        versions = {check.key: check.version for check in checks}
        conditions = [Condition(key, version) for key, version in versions.items()]
        try:
            changed = await self._state.changed_keys(conditions, Urgency.USER)
        except RequestRejectedError:
            # Guards ``forgotten``: if the service accepts fewer conditions than announced, every
            # check stays False, so that each caller reads its key.
            pass
        except StateServiceError as error:
            for check in checks:
                check.error = error
        else:
            for check in checks:
                compared = versions[check.key] == check.version
                check.unchanged = compared and check.key not in changed
        for check in checks:
            await check.answered.set()
