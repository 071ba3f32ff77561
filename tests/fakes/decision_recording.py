"""Records traces of decisions in the format of `tests/golden/decisions.json`.

Record them again only after a decision was changed on purpose, never to make the test pass:

    python3 -m tests.fakes.decision_recording
"""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from pathlib import Path
from typing import Any

import click
import pytest

from tests.fakes.decision_scenarios import LARGE, SMALL
from tests.fakes.stepped_clock import SteppedTime

GOLDEN = Path(__file__).parent.parent / "golden" / "decisions.json"


def play(name: str) -> list[dict[str, Any]]:
    """Run a scenario; return the steps of its trace as JSON decodes them."""
    clock = SteppedTime()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("micadeal.clock.time", clock)
        world = (SMALL | LARGE)[name](clock)
    steps: list[dict[str, Any]] = json.loads(json.dumps(world.steps))
    return steps


def golden_form(name: str, steps: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the golden form of a trace: events of small scenarios, hashes of large ones."""
    if name in SMALL:
        return [step for step in steps if step["events"]]
    return [
        {
            "at": step["at"],
            "counts": dict(sorted(Counter(event[0] for event in step["events"]).items())),
            "sha256": hashlib.sha256(json.dumps(step["events"]).encode()).hexdigest(),
        }
        for step in steps
    ]


def render(traces: dict[str, list[dict[str, Any]]]) -> str:
    """Return JSON with one event per line, which keeps diffs readable."""
    scenarios: list[str] = []
    for name, steps in traces.items():
        lines: list[str] = []
        for step in steps:
            if "events" in step:
                events = ",\n".join("   " + _compact(event) for event in step["events"])
                lines.append(f'  {{"at":{step["at"]},"events":[\n{events}]}}')
            else:
                lines.append("  " + _compact(step))
        body = ",\n".join(lines)
        scenarios.append(f' "{name}":[\n{body}]')
    return "{\n" + ",\n".join(scenarios) + "\n}\n"


def _compact(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"))


@click.command()
@click.option("--output", type=click.Path(path_type=Path), default=GOLDEN, show_default=True)
def main(output: Path) -> None:
    """Record the decisions of all scenarios."""
    output.parent.mkdir(exist_ok=True)
    output.write_text(render({name: golden_form(name, play(name)) for name in SMALL | LARGE}))


if __name__ == "__main__":
    main()
