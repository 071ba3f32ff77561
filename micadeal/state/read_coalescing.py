"""Whether keys are still at the version last read, asked for many at once.

Users poll each job every few seconds.  With a read for each poll, some hundreds of jobs use up all
requests that the state service takes, and the leader's own writes wait behind them: placements and
ends for minutes, while those who poll are refused as well.  A transaction without changes compares
many keys in one request, and what it says rests on a read that began after each of the questions.
"""

from __future__ import annotations

from datetime import timedelta

import curio

from micadeal.state.service import RequestRejectedError, StateService, StateServiceError, Urgency
from micadeal.timeouts import sleep
from micadeal.wire.state import Condition

#: Questions that come within this time share a request.
GATHER = timedelta(milliseconds=60)


class _VersionCheck:
    __slots__ = ("answered", "holds", "key", "problem", "version")

    def __init__(self, key: str, version: int) -> None:
        self.key, self.version = key, version
        self.answered = curio.Event()
        self.holds = False
        self.problem: StateServiceError | None = None


class VersionCheckCoalescer:
    def __init__(self, state: StateService) -> None:
        self._state = state
        self._waiting: list[_VersionCheck] = []
        self._gathering = False

    async def holds(self, key: str, version: int) -> bool:
        """Raises ``StateServiceError`` if that can't be said now."""
        question = _VersionCheck(key, version)
        self._waiting.append(question)
        if not self._gathering:
            self._gathering = True
            await curio.spawn(self._gather, daemon=True)
        await question.answered.wait()
        if question.problem is not None:
            raise question.problem
        return question.holds

    async def _gather(self) -> None:
        await sleep(GATHER)
        self._gathering = False
        waiting, self._waiting = self._waiting, []
        most = self._state.limits.conditions
        for start in range(0, len(waiting), most):
            await curio.spawn(self._ask, waiting[start : start + most], daemon=True)

    async def _ask(self, questions: list[_VersionCheck]) -> None:
        versions = {question.key: question.version for question in questions}
        try:
            changed = await self._state.changed(
                [Condition(key, version) for key, version in versions.items()], Urgency.USER
            )
        except RequestRejectedError:
            # Guards ``forgotten``: should the service take fewer conditions than it says, each key
            # is read by itself.
            pass
        except StateServiceError as problem:
            for question in questions:
                question.problem = problem
        else:
            for question in questions:
                same = versions[question.key] == question.version
                question.holds = same and question.key not in changed
        for question in questions:
            await question.answered.set()
