"""The leader's decisions, in order, match those recorded in `tests/golden/decisions.json`.

Guards refactorings, such as renaming or splitting code, against changes of behaviour.  Placements,
preemptions, rentals, returns, commands to workers and transactions are compared in their external
form.

Never record the file again to make this test pass.  After an intended change of decisions, record
it (see `tests/fakes/decision_recording.py`) and explain each difference in the commit.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections import Counter
from collections.abc import Iterator
from itertools import zip_longest
from pathlib import Path
from typing import Any

import pytest

from tests.fakes.decision_recording import GOLDEN, golden_form, play
from tests.fakes.decision_scenarios import LARGE, SMALL

Steps = list[dict[str, Any]]
MAX_GOLDEN_BYTES = 1_500_000
#: Kinds of events that must occur in the small scenarios; see ``kinds_of``.
KINDS = {
    "placed", "killed", "kept", "rented", "returned", "ordered", "commanded", "written",
    "killed a task", "killed a gang", "ordered run", "ordered halt", "ordered reap",
    "commanded halt", "commanded nothing", "rented spot", "rented ordinary",
    "put placed", "drop placed", "put done", "put finished", "put end", "drop job", "put images",
    "put leaving", "drop leaving", "drop done", "drop finished",
}  # fmt: skip


@pytest.fixture(scope="module")
def golden() -> dict[str, Steps]:
    traces: dict[str, Steps] = json.loads(GOLDEN.read_text())
    return traces


def first_difference(recorded: Steps, actual: Steps) -> str | None:
    for recorded_step, actual_step in zip_longest(recorded, actual):
        if recorded_step == actual_step:
            continue
        if recorded_step is None or actual_step is None:
            return f"one trace ends early\n recorded: {recorded_step}\n actual:   {actual_step}"
        if recorded_step["at"] != actual_step["at"]:
            return f"step recorded at {recorded_step['at']} s, but played at {actual_step['at']} s"
        for name in ("counts", "sha256"):
            if recorded_step.get(name) != actual_step.get(name):
                return (
                    f"at {recorded_step['at']} s, {name}\n"
                    f" recorded: {recorded_step.get(name)}\n actual:   {actual_step.get(name)}"
                )
        pairs = zip_longest(recorded_step["events"], actual_step["events"])
        number, (old, new) = next((i, pair) for i, pair in enumerate(pairs) if pair[0] != pair[1])
        return f"at {recorded_step['at']} s, event {number}\n recorded: {old}\n actual:   {new}"
    return None


@pytest.mark.parametrize("name", [*SMALL, *LARGE])
def test_decisions_are_as_recorded(name: str, golden: dict[str, Steps]) -> None:
    difference = first_difference(golden[name], golden_form(name, play(name)))
    assert difference is None, f"{name}: decisions differ from the recorded ones, {difference}"


def kinds_of(event: list[Any]) -> Iterator[str]:
    kind = event[0]
    yield kind
    if kind == "killed":
        yield "killed a gang" if event[3] is None else "killed a task"
    elif kind == "rented":
        yield "rented spot" if event[1]["loaners"] else "rented ordinary"
    elif kind in ("ordered", "commanded"):
        commands = event[2] if kind == "ordered" else event[2]["orders"]
        yield from (f"{kind} {order['verb']}" for order in commands)
        if not commands:
            yield f"{kind} nothing"
    elif kind == "written":
        for change in event[1]["then"]:
            verb = "put" if "put" in change else "drop"
            yield f"{verb} {change[verb].split('/')[0]}"


def test_every_kind_of_decision_is_recorded(golden: dict[str, Steps]) -> None:
    """Guards against traces that cover too little to detect a change."""
    assert set(golden) == set(SMALL) | set(LARGE)
    assert GOLDEN.stat().st_size < MAX_GOLDEN_BYTES
    seen = Counter(
        kind
        for name in SMALL
        for step in golden[name]
        for event in step["events"]
        for kind in kinds_of(event)
    )
    assert set(seen) >= KINDS, f"never happened: {sorted(KINDS - set(seen))}"
    for name in LARGE:
        counts = Counter[str]()
        for step in golden[name]:
            counts.update(step["counts"])
        assert set(counts) >= {"placed", "killed", "rented", "returned", "ordered", "written"}


def test_the_trace_is_the_same_in_every_process(tmp_path: Path) -> None:
    """Guards against an order of decisions that depends on the hash seed of the process."""
    script = (
        "import json, sys; from tests.fakes.decision_recording import play;"
        "print(json.dumps([play(name) for name in sys.argv[1:]]))"
    )
    names = ["all_shapes", "failures", "lost_answers", "traffic_20"]
    traces = {
        subprocess.run(
            [sys.executable, "-c", script, *names],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
            cwd=GOLDEN.parents[2],
        ).stdout
        for seed in ("1", "4242")
    }
    assert len(traces) == 1
