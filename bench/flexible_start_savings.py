"""Compares nights with and without deferral of flexible work, in virtual time.

    python3 -m bench.flexible_start_savings --nights 50 [--lost] [--machines 5] [--wrong 3.0]

Each seeded night (``bench/night.py``) is played without and with deferral
(``bench/night_simulation.py``) and compared with a bound that no scheduler could beat
(``bench/cost_bound.py``, needs scipy).  ``--lost``: the feed falls silent at a random time.  All of
it is simulated.
"""

from __future__ import annotations

import argparse
import math
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from statistics import mean
from typing import NamedTuple

from bench.cost_bound import cost_bound
from bench.night import Night
from bench.night_simulation import Outcome, Simulation


class Comparison(NamedTuple):
    """The results of one night, played without and with deferral, and its lower bound."""

    seed: int
    without_deferral: Outcome
    with_deferral: Outcome
    bound: float


def compare(seed: int, feed_fails: bool, machines: int, worst_estimate_factor: float) -> Comparison:
    """Play a night without and with deferral, and compute its lower bound.

    ``feed_fails``: the price feed fails during the night.
    """
    night = Night(seed, machines, worst_estimate_factor)
    without_deferral = Simulation(night, deferral_enabled=False, feed_fails=feed_fails).run()
    with_deferral = Simulation(night, deferral_enabled=True, feed_fails=feed_fails).run()
    return Comparison(seed, without_deferral, with_deferral, cost_bound(night))


def format_table(rows: Sequence[Comparison]) -> str:
    """Return a table with a line for each night, and a summary."""
    lines = ["night  missed without/with  cost without  with  bound"]
    lines += [
        f"{row.seed:5}  {row.without_deferral.missed_deadlines:7} "
        f"{row.with_deferral.missed_deadlines:4}  {row.without_deferral.cost:17.3f} "
        f"{row.with_deferral.cost:5.3f} {row.bound:6.3f}"
        for row in rows
    ]
    worse_seeds = [
        row.seed
        for row in rows
        if row.with_deferral.missed_deadlines > row.without_deferral.missed_deadlines
    ]
    saving = mean(1 - row.with_deferral.cost / row.without_deferral.cost for row in rows)
    bound_savings = [
        1 - row.bound / row.without_deferral.cost for row in rows if not math.isnan(row.bound)
    ]
    max_saving = f"{mean(bound_savings):.1%}" if bound_savings else "unknown"
    missed_without = sum(row.without_deferral.missed_deadlines for row in rows)
    missed_with = sum(row.with_deferral.missed_deadlines for row in rows)
    lines.append(
        f"saved {saving:.1%} of at most {max_saving}; missed {missed_without} without, "
        f"{missed_with} with; more missed in nights {worse_seeds}"
    )
    return "\n".join(lines) + "\n"


def main() -> None:
    """Play the nights given on the command line and print the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nights", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--machines", type=int, default=12)
    parser.add_argument("--wrong", type=float, default=1.6)
    parser.add_argument("--lost", action="store_true")
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.nights)
    compare_seed = partial(
        compare,
        feed_fails=arguments.lost,
        machines=arguments.machines,
        worst_estimate_factor=arguments.wrong,
    )
    with ProcessPoolExecutor(arguments.jobs) as pool:
        sys.stdout.write(format_table(list(pool.map(compare_seed, seeds))))


if __name__ == "__main__":
    main()
