"""Evaluates and checks operators' settings, which are written as a Starlark script.

The command line evaluates and checks a script.  Its values are stored, and every leader checks
them again before it applies them.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec

from micadeal.clock import seconds
from micadeal.operator.policy import Flexible, Policy, TeamPolicy
from micadeal.wire.codec import MessageFormatError, convert

#: Name by which a script limits the feature level of the stored state.
HIGHEST_LEVEL = "highest_level"
#: A script may name feature levels below this.
LEVEL_BOUND = 1000
MAX_TIMEOUT_S = 86_400
#: Shown by ``micadeal settings show`` if no script applies.
EXAMPLE = """\
# Every name may be left out.  Durations are in seconds.
refresh_s = 2           # how often shares are computed
minimum_timeout_s = 15  # below its guarantee for this long, a team takes room from others
share_timeout_s = 30    # the same for half its fair share
gather_after_s = 45     # room is gathered for a job of which nothing has begun for this long

teams = {
    "team-a": {"weight": 2.0, "running_jobs": 40},
    "team-b": {"order": "submitted", "minimum_timeout_s": 5},
}

# Classes of jobs that may be held for a cheaper or cleaner hour (where timing is switched on): the
# share of their slack that may be used, and what money and carbon count.
flexible = {
    "nightly-build": {"slack": 0.8, "money": 1.0, "carbon": 0.0},
}

# Holds the level of the stored state, or lowers it before an earlier version is started:
# highest_level = 1
"""


class InvalidScriptError(ValueError):
    """An invalid script or value; the text has the reason, and file and line if known."""


class _TeamValues(msgspec.Struct, forbid_unknown_fields=True):
    weight: float = 1.0
    running_jobs: int | None = None
    minimum_timeout_s: float | None = None
    order: str = "priority"


class _FlexibleValues(msgspec.Struct, forbid_unknown_fields=True):
    slack: float = 0.8
    money: float = 1.0
    carbon: float = 0.0


class _Values(msgspec.Struct, forbid_unknown_fields=True):
    """Names that a script may set, with their defaults; fields have the names of the script."""

    refresh_s: float = 2.0
    minimum_timeout_s: float = 15.0
    share_timeout_s: float = 30.0
    gather_after_s: float = 45.0
    teams: dict[str, _TeamValues] = {}
    flexible: dict[str, _FlexibleValues] = {}


def _check_range(name: str, value: float, least: float, most: float) -> None:
    if not (math.isfinite(value) and least <= value <= most):
        raise InvalidScriptError(f"{name} must be between {least:g} and {most:g}, not {value:g}")


def policy_from_values(values: dict[str, Any]) -> Policy:
    """Check values and convert them to a policy.

    Raises ``InvalidScriptError`` for the first fault.
    """
    try:
        parsed = convert(_Values, values)
    except MessageFormatError as problem:
        raise InvalidScriptError(str(problem)) from None
    _check_range("refresh_s", parsed.refresh_s, 0.25, 60)
    _check_range("minimum_timeout_s", parsed.minimum_timeout_s, 0, MAX_TIMEOUT_S)
    _check_range("share_timeout_s", parsed.share_timeout_s, 0, MAX_TIMEOUT_S)
    _check_range("gather_after_s", parsed.gather_after_s, 0, MAX_TIMEOUT_S)
    return Policy(
        refresh=seconds(parsed.refresh_s),
        minimum_timeout=seconds(parsed.minimum_timeout_s),
        share_timeout=seconds(parsed.share_timeout_s),
        reserve_after=seconds(parsed.gather_after_s),
        teams={name: _team_policy(name, team) for name, team in parsed.teams.items()},
        flexible={name: _flexible(name, entry) for name, entry in parsed.flexible.items()},
    )


def _team_policy(name: str, team: _TeamValues) -> TeamPolicy:
    field = f"teams[{name!r}]"
    _check_range(f"{field}.weight", team.weight, 0.001, 1000)
    if team.running_jobs is not None:
        _check_range(f"{field}.running_jobs", team.running_jobs, 0, 1_000_000)
    if team.minimum_timeout_s is not None:
        _check_range(f"{field}.minimum_timeout_s", team.minimum_timeout_s, 0, MAX_TIMEOUT_S)
    if team.order not in ("priority", "submitted"):
        raise InvalidScriptError(f'{field}.order must be "priority" or "submitted"')
    timeout = None if team.minimum_timeout_s is None else seconds(team.minimum_timeout_s)
    return TeamPolicy(team.weight, team.running_jobs, timeout, team.order)


def _flexible(name: str, values: _FlexibleValues) -> Flexible:
    field = f"flexible[{name!r}]"
    _check_range(f"{field}.slack", values.slack, 0, 1)
    _check_range(f"{field}.money", values.money, 0, 1e6)
    _check_range(f"{field}.carbon", values.carbon, 0, 1e6)
    if not values.money and not values.carbon:
        raise InvalidScriptError(f"{field} gives weight to neither money nor carbon")
    return Flexible(values.slack, values.money, values.carbon)


def check_highest_level(value: Any) -> int | None:
    """Return the highest feature level that a script allows; None if it sets no limit.

    Raises ``InvalidScriptError`` for a value that is no feature level.
    """
    if value is None:
        return None
    # ``isinstance`` would accept a bool.
    if type(value) is not int or not 0 <= value < LEVEL_BOUND:
        raise InvalidScriptError(f"{HIGHEST_LEVEL} must be a whole number from 0 on, not {value!r}")
    return value


def evaluate(script: str, name: str) -> tuple[dict[str, Any], int | None]:
    """Return the checked values that a script sets, and the highest feature level it allows.

    The level is not among the values, since versions without feature levels refuse all values if
    they don't know one of them.  ``name``: file name for errors.  Raises ``InvalidScriptError``.
    """
    import starlark  # noqa: PLC0415 - needed by the command line only, not by controllers

    module = starlark.Module()
    try:
        tree = starlark.parse(name, script)
        starlark.eval(module, tree, starlark.Globals.standard())
    except starlark.StarlarkError as problem:
        raise InvalidScriptError(str(problem)) from None
    values = {key: value for key in _Values.__struct_fields__ if (value := module[key]) is not None}
    try:
        policy_from_values(values)
        level = check_highest_level(module[HIGHEST_LEVEL])
    except InvalidScriptError as problem:
        line = _line_of(script, str(problem))
        raise InvalidScriptError(f"{name}:{line}: {problem}") from None
    return values, level


def _line_of(script: str, problem: str) -> int:
    """Return the line number of the setting that an error text names; 1 if it names none."""
    for number, line in enumerate(script.splitlines(), 1):
        key = line.split("=")[0].strip()
        if key and key.isidentifier() and (problem.startswith(key) or f"$.{key}" in problem):
            return number
    return 1
