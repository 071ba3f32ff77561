"""Job descriptions, teams and a policy with short timeouts for the decision scenarios."""

from __future__ import annotations

from typing import Any

from micadeal.clock import seconds
from micadeal.operator.platform import Team
from micadeal.operator.policy import Policy

SHORT_TIMEOUTS = Policy(
    minimum_timeout=seconds(3), share_timeout=seconds(6), reserve_after=seconds(5)
)  # fmt: skip
GANG: dict[str, Any] = {
    "shape": "gang", "vcpus": 14.0, "accelerators": 2.0, "ram_gb": 50.0, "one_zone": True,
    "lane": "train", "build": "train-1",
}  # fmt: skip
SERVICE: dict[str, Any] = {
    "shape": "daemon", "rank": "production", "scatter": True, "lane": "live", "build": "live-1",
}  # fmt: skip
LOW_PRIORITY: dict[str, Any] = {"rank": "low", "loaners": True, "lane": "batch", "build": "batch-1"}


def teams(*guarantees: float, limit: float | None = None) -> dict[str, Team]:
    """Return teams with these guarantees in gpus, each with the same limit in gpus."""
    names = ("red", "blue", "green")[: len(guarantees)]
    return {
        name: Team(name, 0.0, guarantee, None, limit)
        for name, guarantee in zip(names, guarantees, strict=True)
    }
