"""The rules of the Fair Scheduler design as examples, and properties that hold for any teams."""

from __future__ import annotations

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from micadeal.sharing.order import team_key
from micadeal.sharing.shares import Claim, fair_shares
from micadeal.sharing.starvation import StarvationTimer, TeamUsage
from micadeal.sharing.victims import FreedAmounts, Victim, may_preempt

#: More demand than there ever is to share.
UNLIMITED = 1000.0


def second(value: float) -> timedelta:
    return timedelta(seconds=value)


def test_equal_weights_share_equally() -> None:
    assert fair_shares([Claim(UNLIMITED, 1, 0)] * 4, 40) == pytest.approx([10] * 4, rel=1e-5)


def test_a_weight_of_two_gets_twice_as_much() -> None:
    assert fair_shares([Claim(UNLIMITED, 2, 0), Claim(UNLIMITED, 1, 0)], 30) == pytest.approx(
        [20, 10], 1e-5
    )


def test_what_a_team_does_not_demand_is_divided_among_the_others() -> None:
    claims = [Claim(2, 1, 0), Claim(UNLIMITED, 1, 0), Claim(UNLIMITED, 1, 0)]
    assert fair_shares(claims, 20) == pytest.approx([2, 9, 9], 1e-5)


def test_a_guarantee_above_the_weighted_share_is_kept() -> None:
    claims = [Claim(UNLIMITED, 1, 24), Claim(UNLIMITED, 1, 0), Claim(UNLIMITED, 1, 0)]
    assert fair_shares(claims, 30) == pytest.approx([24, 3, 3], 1e-5)


def test_guarantees_above_the_total_scale_down_proportionally() -> None:
    claims = [Claim(UNLIMITED, 1, 30), Claim(UNLIMITED, 5, 10), Claim(UNLIMITED, 1, 0)]
    assert fair_shares(claims, 20) == pytest.approx([15, 5, 0])


def test_an_idle_team_reserves_nothing() -> None:
    assert fair_shares([Claim(0, 1, 10), Claim(UNLIMITED, 1, 0)], 12) == pytest.approx(
        [0, 12], 1e-5
    )


claims_strategy = st.lists(
    st.builds(
        Claim,
        st.floats(0, 500),
        st.floats(0.01, 100),
        st.one_of(st.just(0.0), st.floats(0, 100)),
    ),
    min_size=1,
    max_size=12,
)


@settings(derandomize=True, deadline=None)
@given(claims_strategy, st.floats(0, 1000))
def test_shares_use_all_that_can_be_used_and_never_more(claims: list[Claim], total: float) -> None:
    shares = fair_shares(claims, total)
    demanded = sum(claim.demand for claim in claims)
    assert sum(shares) == pytest.approx(min(total, demanded), rel=1e-4, abs=1e-4)
    assert all(0 <= s <= c.demand + 1e-9 for s, c in zip(shares, claims, strict=True))


@settings(derandomize=True, deadline=None)
@given(claims_strategy, st.floats(0, 1000))
def test_no_team_is_below_its_guarantee_unless_all_are_scaled(
    claims: list[Claim], total: float
) -> None:
    shares = fair_shares(claims, total)
    guarantees = [min(claim.guarantee, claim.demand) for claim in claims]
    scale = min(1.0, total / sum(guarantees)) if sum(guarantees) else 1.0
    for share, guarantee in zip(shares, guarantees, strict=True):
        assert share >= guarantee * scale - 1e-4


@settings(derandomize=True, deadline=None)
@given(claims_strategy, st.floats(1, 1000))
def test_an_unmet_team_has_no_less_per_weight_than_one_above_its_guarantee(
    claims: list[Claim], total: float
) -> None:
    shares = fair_shares(claims, total)
    if sum(min(c.guarantee, c.demand) for c in claims) > total:
        return
    pairs = list(zip(shares, claims, strict=True))
    unmet = [s / c.weight for s, c in pairs if s < c.demand - 1e-3]
    above = [s / c.weight for s, c in pairs if s > c.guarantee + 1e-3]
    if unmet and above:
        assert min(unmet) >= max(above) * (1 - 1e-3) - 1e-3


def test_teams_below_their_guarantee_come_first_furthest_below_foremost() -> None:
    far = team_key(used=1, guarantee=4, weight=1)
    near = team_key(used=3, guarantee=4, weight=1)
    light = team_key(used=2, guarantee=0, weight=2)
    heavy = team_key(used=2, guarantee=2, weight=1)
    assert sorted([heavy, light, near, far]) == [far, near, light, heavy]


def test_starvation_counts_after_its_timeout_and_only_what_is_missing() -> None:
    timer = StarvationTimer(second(0), second(0))

    def starved_amount(at: float, used: float, demand: float) -> tuple[float, bool]:
        team = TeamUsage(used, demand, guarantee=4, share=10)
        timer.update(second(at), team)
        return timer.starved_amount(second(at), team, second(15), second(30))

    assert starved_amount(0, 4, 20) == (0, False)
    assert starved_amount(10, 1, 20) == (0, False)
    assert starved_amount(16, 1, 20) == (3, True)
    assert starved_amount(17, 1, 1) == (0, False)  # its demand is met: not starved
    assert starved_amount(18, 1, 20) == (0, False)
    assert starved_amount(48, 1, 20) == (9, False)  # below half its fair share for 30 s


@pytest.mark.parametrize(
    ("team", "rank", "surplus", "for_guarantee", "allowed"),
    [
        ("other", 2, 4.0, False, False),  # same priority, no guarantee at stake
        ("other", 2, 4.0, True, True),  # beyond its own guarantee, to give one
        ("other", 2, 0.5, True, False),  # it would fall below its own
        ("other", 3, 4.0, False, True),  # lower priority
        ("preemptor", 2, 4.0, True, False),  # equal priority within the preemptor's team
        ("preemptor", 3, 0.0, False, True),
        ("other", 0, 9.0, True, True),
    ],
)
def test_which_victims_the_rules_allow(
    team: str, rank: int, surplus: float, for_guarantee: bool, allowed: bool
) -> None:
    victim = Victim("req-1", team, rank, second(5), (FreedAmounts("m", 1, 1, 1),), 1.0)
    assert may_preempt(victim, "preemptor", 2, for_guarantee, {team: surplus}) is allowed
