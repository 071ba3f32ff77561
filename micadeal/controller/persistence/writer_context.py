"""What the parts of the record writer share."""

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
    """Limits of the state service, as far as they are known to this term.

    ``guaranteed`` hold now and after an announced change; all writes keep to them.  What earlier
    versions can read only as a value that is larger is written so as long as the service takes it,
    that is within ``present``.
    """

    guaranteed: Limits
    present: Limits

    def rejected(self, batch: WriteBatch) -> None:
        """Lower the limits after the service has called a batch too large."""
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
    #: Says in which layouts records are written, and whether later ones are written back.
    level: LevelRecord
    keys: KeyTracker = field(default_factory=KeyTracker)

    @property
    def writes_fenced_layouts(self) -> bool:
        """Whether records are written in the layouts of level ``FENCED``."""
        return self.level.writes >= FeatureLevel.FENCED
