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
    """One night, played twice."""

    seed: int
    without: Outcome
    deferred: Outcome
    bound: float


def compare(seed: int, lost: bool, machines: int, wrong: float) -> Comparison:
    """Play a night without and with deferral, and compute its bound."""
    night = Night(seed, machines, wrong)
    without = Simulation(night, timing=False, feed_lost=lost).run()
    deferred = Simulation(night, timing=True, feed_lost=lost).run()
    return Comparison(seed, without, deferred, cost_bound(night))


def table(rows: Sequence[Comparison]) -> str:
    """Return a line for each night and a summary."""
    lines = ["night  missed without/with  cost without  with  bound"]
    lines += [
        f"{row.seed:5}  {row.without.missed:7} {row.deferred.missed:4}  {row.without.cost:17.3f} "
        f"{row.deferred.cost:5.3f} {row.bound:6.3f}"
        for row in rows
    ]
    worse = [row.seed for row in rows if row.deferred.missed > row.without.missed]
    saved = mean(1 - row.deferred.cost / row.without.cost for row in rows)
    bounded = [1 - row.bound / row.without.cost for row in rows if not math.isnan(row.bound)]
    most = f"{mean(bounded):.1%}" if bounded else "unknown"
    missed_without = sum(row.without.missed for row in rows)
    missed_with = sum(row.deferred.missed for row in rows)
    lines.append(
        f"saved {saved:.1%} of at most {most}; missed {missed_without} without, "
        f"{missed_with} with; more missed in nights {worse}"
    )
    return "\n".join(lines) + "\n"


def main() -> None:
    """Play the nights that the command line asks for, and print the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nights", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--machines", type=int, default=12)
    parser.add_argument("--wrong", type=float, default=1.6)
    parser.add_argument("--lost", action="store_true")
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.nights)
    play = partial(compare, lost=arguments.lost, machines=arguments.machines, wrong=arguments.wrong)
    with ProcessPoolExecutor(arguments.jobs) as pool:
        sys.stdout.write(table(list(pool.map(play, seeds))))


if __name__ == "__main__":
    main()
