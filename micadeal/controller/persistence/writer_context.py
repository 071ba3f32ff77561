"""State that the parts of the record writer share."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

from micadeal.controller.persistence.batches import WriteBatch
from micadeal.controller.persistence.key_tracker import KeyTracker
from micadeal.rollout.feature_level import FeatureLevel
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.state.limits import Limits
from micadeal.wire.state import LevelRecord

log = logging.getLogger(__name__)


@dataclass(slots=True)
class WriteLimits:
    """Limits of the state service, as known to this term.

    ``guaranteed`` limits hold now and after an announced change; writes normally keep within them.
    Exception: a layout that earlier versions need may exceed them, and is written while the value
    still fits into ``present``, the limits in force now.
    """

    guaranteed: Limits
    present: Limits

    def rejected(self, batch: WriteBatch) -> None:
        """Lower the limits after the service has rejected a batch as too large."""
        if batch.needs_present_limits:
            self.present = self.guaranteed
        else:
            self.guaranteed = self.present = self.guaranteed.shrunk()
        log.warning(
            "write batch too large, limits lowered: operations=%d value_bytes=%d",
            self.guaranteed.operations,
            self.guaranteed.value_bytes,
        )


@dataclass(slots=True)
class WriterContext:
    """The leader's state, the keys and limits of the state service, and the level in force."""

    cluster: ClusterState
    limits: WriteLimits
    #: Says which layouts are written, and whether later ones are rewritten to earlier ones.
    level: LevelRecord
    keys: KeyTracker = field(default_factory=KeyTracker)

    @property
    def writes_fenced_layouts(self) -> bool:
        """Whether records are written in the layouts of level ``FENCED``."""
        return self.level.writes >= FeatureLevel.FENCED
