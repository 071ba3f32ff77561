"""Command line of the model checker for lease renewal by followers."""

from __future__ import annotations

import time

import click

from bench.model_follower_leases.explorer import explore
from bench.model_follower_leases.guards import GUARDS, FalseInputs, Guard


@click.command()
@click.option("--crashes", default=0, show_default=True, help="Crashes in one path.")
@click.option("--delayed", default=0, show_default=True, help="Late answers in flight at once.")
@click.option("--reading", is_flag=True, help="The leader was elected a moment ago.")
@click.option("--guards", is_flag=True, help="Disable each guard in turn, each in its own world.")
@click.option("--most", default=0, help="Give up beyond so many states (0: never).")
def main(crashes: int, delayed: int, reading: bool, guards: bool, most: int) -> None:
    """Print the number of states, the time taken and the path to a broken rule, if any."""
    if not guards:
        _show("all guards", Guard(FalseInputs(), crashes, delayed, reading), most)
        return
    for name, guard in GUARDS.items():
        _show(f"without: {name}", guard, most)


def _show(name: str, guard: Guard, max_states: int) -> None:
    started_at = time.perf_counter()
    outcome = explore(guard.crashes, guard.delayed, guard.false_inputs, max_states, guard.reading)
    elapsed_s = time.perf_counter() - started_at
    result = outcome.rule or ("no rule broken" if outcome.complete else "given up")
    click.echo(f"{name}: {outcome.states} states, {elapsed_s:.1f} s, {result}")
    for description in outcome.path:
        click.echo(f"    {description}")


if __name__ == "__main__":
    main()
