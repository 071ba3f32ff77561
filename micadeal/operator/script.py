"""Operators' settings: a Starlark script is evaluated and checked by the client, its values are
stored, and every leader checks the values again before it takes them up."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from micadeal.clock import seconds
from micadeal.operator.policy import Flexible, Policy, TeamPolicy
from micadeal.wire.codec import MessageFormatError, convert

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
    """Refused: with file, line and reason."""


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
    refresh_s: float = 2.0
    minimum_timeout_s: float = 15.0
    share_timeout_s: float = 30.0
    gather_after_s: float = 45.0
    teams: dict[str, _TeamValues] = {}
    flexible: dict[str, _FlexibleValues] = {}


def _check(name: str, value: float, least: float, most: float) -> None:
    if not (math.isfinite(value) and least <= value <= most):
        raise InvalidScriptError(f"{name} must be between {least:g} and {most:g}, not {value:g}")


def policy_from_values(values: dict[str, Any]) -> Policy:
    """Raises ``InvalidScriptError``."""
    try:
        read = convert(_Values, values)
    except MessageFormatError as problem:
        raise InvalidScriptError(str(problem)) from None
    _check("refresh_s", read.refresh_s, 0.25, 60)
    _check("minimum_timeout_s", read.minimum_timeout_s, 0, 86_400)
    _check("share_timeout_s", read.share_timeout_s, 0, 86_400)
    _check("gather_after_s", read.gather_after_s, 0, 86_400)
    teams: dict[str, TeamPolicy] = {}
    for name, team in read.teams.items():
        _check(f"teams[{name!r}].weight", team.weight, 0.001, 1000)
        if team.running_jobs is not None:
            _check(f"teams[{name!r}].running_jobs", team.running_jobs, 0, 1_000_000)
        if team.minimum_timeout_s is not None:
            _check(f"teams[{name!r}].minimum_timeout_s", team.minimum_timeout_s, 0, 86_400)
        if team.order not in ("priority", "submitted"):
            raise InvalidScriptError(f'teams[{name!r}].order must be "priority" or "submitted"')
        teams[name] = TeamPolicy(
            team.weight,
            team.running_jobs,
            None if team.minimum_timeout_s is None else seconds(team.minimum_timeout_s),
            team.order,
        )
    flexible: dict[str, Flexible] = {}
    for name, word in read.flexible.items():
        _check(f"flexible[{name!r}].slack", word.slack, 0, 1)
        _check(f"flexible[{name!r}].money", word.money, 0, 1e6)
        _check(f"flexible[{name!r}].carbon", word.carbon, 0, 1e6)
        if not word.money and not word.carbon:
            raise InvalidScriptError(f"flexible[{name!r}] gives weight to neither money nor carbon")
        flexible[name] = Flexible(word.slack, word.money, word.carbon)
    return Policy(
        seconds(read.refresh_s),
        seconds(read.minimum_timeout_s),
        seconds(read.share_timeout_s),
        seconds(read.gather_after_s),
        teams,
        flexible,
    )


HIGHEST_LEVEL = "highest_level"


def check_highest_level(value: Any) -> int | None:
    """Raises ``InvalidScriptError``.  None: not held."""
    if value is not None and (type(value) is not int or not 0 <= value < 1000):
        raise InvalidScriptError(f"{HIGHEST_LEVEL} must be a whole number from 0 on, not {value!r}")
    return value


def evaluate(script: str, name: str) -> tuple[dict[str, Any], int | None]:
    """The values that a script sets, checked, and the highest level that it allows.

    The level is none of the values: versions that know of no levels refuse values that they do not
    know, and would take none of the others up.  Raises ``InvalidScriptError``.
    """
    import starlark  # only the command line evaluates scripts: controllers start without it

    module = starlark.Module()
    try:
        tree = starlark.parse(name, script)
        starlark.eval(module, tree, starlark.Globals.standard())
    except starlark.StarlarkError as problem:
        raise InvalidScriptError(str(problem)) from None
    values: dict[str, Any] = {}
    for key in _Values.__struct_fields__:
        value = module[key]
        if value is not None:
            values[key] = value
    try:
        policy_from_values(values)
        level = check_highest_level(module[HIGHEST_LEVEL])
    except InvalidScriptError as problem:
        line = _line_of(script, str(problem))
        raise InvalidScriptError(f"{name}:{line}: {problem}") from None
    return values, level


def _line_of(script: str, problem: str) -> int:
    """The line of the setting that the problem names; 1 if it names none."""
    for number, line in enumerate(script.splitlines(), 1):
        key = line.split("=")[0].strip()
        if key and key.isidentifier() and (problem.startswith(key) or f"$.{key}" in problem):
            return number
    return 1
