"""Command line of the model checker for rolling upgrades."""

from __future__ import annotations

import time

import click

from bench.model_rollout.explorer import explore, initial_state
from bench.model_rollout.guards import GUARDS, broken_without


@click.command()
@click.option("--ends", default=1, show_default=True, help="How often processes end.")
@click.option("--leases", default=1, show_default=True, help="How often leases expire.")
@click.option("--writes", default=1, show_default=True, help="Records written.")
@click.option("--turns", default=0, show_default=True, help="How often operators change the level.")
@click.option("--guards", is_flag=True, help="Disable each guard: it must break a rule.")
def main(ends: int, leases: int, writes: int, turns: int, guards: bool) -> None:
    """Print the number of states and what is broken, or what breaks without each guard."""
    if guards:
        for guard in GUARDS:
            click.echo(f"{guard}: {broken_without(guard) or 'NOTHING BREAKS'}")
        return
    started_at = time.monotonic()
    outcome = explore(initial_state(ends, leases, writes, turns))
    elapsed_s = time.monotonic() - started_at
    click.echo(
        f"{outcome.states} states, {outcome.broken or 'nothing is broken'}, {elapsed_s:.0f} s"
    )


if __name__ == "__main__":
    main()
