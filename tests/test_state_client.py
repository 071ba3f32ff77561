"""The client of the state service: rate limiting, and the errors that callers distinguish."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
import pytest

from micadeal.clock import ZERO, monotonic, seconds
from micadeal.http.message import Answer, Request, error
from micadeal.state.budget import TokenBucket
from micadeal.state.limits import Limits
from micadeal.state.read_coalescing import VersionCheckCoalescer
from micadeal.state.service import (
    ConflictError,
    LeaseExpiredError,
    RequestRejectedError,
    RevisionCompactedError,
    StateService,
    StateServiceError,
    UnavailableError,
    Urgency,
)
from micadeal.wire.state import Condition, Delete, Put
from tests.fakes import state as state_fake
from tests.fakes.network import FakeNetwork, HostNetwork, HostProcess
from tests.fakes.state import FakeState

LIMITS = Limits(requests_per_s=100, changes_per_s=50, operations=16, value_bytes=8192)


def run_with_state_service(
    check: Callable[[StateService, FakeState], Awaitable[None]],
    handler: Callable[[Request], Awaitable[Answer]] | None = None,
    limits: Limits = LIMITS,
) -> None:
    """Run ``check`` with a client of a state service in memory, or of ``handler`` if given."""

    async def run() -> None:
        fake = FakeState()
        network = FakeNetwork(1)
        network.serve(state_fake.HOST, state_fake.ADDRESS, handler or fake.handle)
        host = HostNetwork(network, "c0", HostProcess())
        await check(StateService(state_fake.ADDRESS, limits, limits, host), fake)

    curio.run(run)


def handler_answering(status: int) -> Callable[[Request], Awaitable[Answer]]:
    async def handler(request: Request) -> Answer:
        return error(status, "test error")

    return handler


def test_token_bucket_accumulates_a_burst_and_keeps_a_reserve_for_urgent_requests() -> None:
    budget = TokenBucket(rate=10, burst=10, now=ZERO)
    assert all(budget.take(1, ZERO) == ZERO for _ in range(10))
    assert budget.take(1, ZERO) > ZERO
    assert budget.take(1, seconds(0.2), reserve=5) > ZERO
    assert budget.take(1, seconds(0.2)) == ZERO


def test_request_that_would_wait_too_long_for_the_rate_limit_is_not_sent() -> None:
    async def check(state: StateService, fake: FakeState) -> None:
        with pytest.raises(UnavailableError) as refused:
            for _ in range(1000):
                await state.get("key", Urgency.USER)
        assert refused.value.status is None
        sent = fake.requests
        await state.get("key", Urgency.LEASE)
        assert fake.requests == sent + 1

    slow = Limits(requests_per_s=2, changes_per_s=2, operations=16, value_bytes=8192)
    run_with_state_service(check, limits=slow)


def test_conflict_names_the_keys_that_have_another_version() -> None:
    async def check(state: StateService, fake: FakeState) -> None:
        revision = await state.commit([Condition("a", 0)], [Put("a", 1)], Urgency.DEFERRED)
        with pytest.raises(ConflictError) as conflict:
            conditions = [Condition("a", 0), Condition("b", 0)]
            await state.commit(conditions, [Delete("a")], Urgency.DEFERRED)
        assert conflict.value.failed_keys == ("a",)
        changed = await state.changed_keys([Condition("a", revision - 1)], Urgency.USER)
        assert changed == {"a"}
        assert await state.changed_keys([Condition("a", revision)], Urgency.USER) == set()

    run_with_state_service(check)


def test_answer_409_is_a_conflict_even_if_it_names_no_keys() -> None:
    async def check(state: StateService, fake: FakeState) -> None:
        with pytest.raises(ConflictError) as conflict:
            await state.commit([Condition("a", 1)], [Delete("a")], Urgency.DEFERRED)
        assert conflict.value.failed_keys == ()

    run_with_state_service(check, handler=handler_answering(409))


def test_expired_lease_and_too_large_transaction_raise_different_errors() -> None:
    async def check(state: StateService, fake: FakeState) -> None:
        lease = await state.grant_lease(seconds(5))
        await state.commit([], [Put("a", 1, lease)], Urgency.LEASE)
        await state.revoke_lease(lease)
        assert await state.get("a") is None
        with pytest.raises(LeaseExpiredError) as expired:
            await state.commit([], [Put("a", 1, lease)], Urgency.LEASE)
        assert expired.value.lease == lease
        with pytest.raises(LeaseExpiredError) as expired:
            await state.renew_lease(lease, seconds(1))
        assert expired.value.lease == lease
        with pytest.raises(RequestRejectedError, match="too large") as rejected:
            await state.commit([], [Put("a", "x" * 9000)], Urgency.DEFERRED)
        assert rejected.value.status == 400

    run_with_state_service(check)


@pytest.mark.parametrize(
    ("status", "kind"),
    [(429, UnavailableError), (503, UnavailableError), (500, StateServiceError)],
)
def test_error_shows_whether_the_request_may_have_been_executed(
    status: int, kind: type[StateServiceError]
) -> None:
    async def check(state: StateService, fake: FakeState) -> None:
        with pytest.raises(StateServiceError) as failure:
            await state.commit([], [Delete("a")], Urgency.DEFERRED)
        assert type(failure.value) is kind
        assert failure.value.status == status
        assert state.last_response_at is None

    run_with_state_service(check, handler=handler_answering(status))


def test_watch_of_a_compacted_revision_raises_an_error_that_names_it() -> None:
    async def check(state: StateService, fake: FakeState) -> None:
        with pytest.raises(RevisionCompactedError) as compacted:
            await state.wait_for_changes("job/", 7, seconds(1), state.watch_client())
        assert (compacted.value.prefix, compacted.value.revision) == ("job/", 7)

    run_with_state_service(check, handler=handler_answering(410))


def test_watch_returns_changes_after_the_revision_of_a_range_read() -> None:
    async def check(state: StateService, fake: FakeState) -> None:
        await state.commit([], [Put("job/1", "a"), Put("other", "b")], Urgency.DEFERRED)
        items, revision = await state.range("job/")
        assert [(item.key, item.value) for item in items] == [("job/1", "a")]
        await state.commit([], [Delete("job/1"), Put("job/2", "c")], Urgency.DEFERRED)
        response = await state.wait_for_changes("job/", revision, seconds(1), state.watch_client())
        assert [(event.put, event.drop) for event in response.events] == [
            (None, "job/1"),
            ("job/2", None),
        ]

    run_with_state_service(check)


def test_concurrent_version_checks_share_one_request() -> None:
    async def check(state: StateService, fake: FakeState) -> None:
        version = await state.commit([], [Put("a", 1), Put("b", 1)], Urgency.DEFERRED)
        sent = fake.requests
        coalescer = VersionCheckCoalescer(state)
        results: dict[tuple[str, int], bool] = {}

        async def check_version(key: str, version: int) -> None:
            results[key, version] = await coalescer.is_unchanged(key, version)

        async with curio.TaskGroup() as group:
            await group.spawn(check_version, "a", version)
            await group.spawn(check_version, "b", version - 1)
            await group.spawn(check_version, "b", version)
        # Only the last of two versions of a key is compared.  The other gets False: unknown.
        assert results == {("a", version): True, ("b", version - 1): False, ("b", version): True}
        assert fake.requests == sent + 1

    run_with_state_service(check)


def test_user_request_times_out_early_once_the_service_is_unreachable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("micadeal.state.service.UNREACHABLE_AFTER", seconds(0.05))

    async def run() -> None:
        fake = FakeState()
        network = FakeNetwork(1)
        network.serve(state_fake.HOST, state_fake.ADDRESS, fake.handle)
        host = HostNetwork(network, "c0", HostProcess())
        state = StateService(state_fake.ADDRESS, LIMITS, LIMITS, host)
        await state.get("key")
        assert state.last_response_at is not None
        await curio.sleep(0.1)
        network.cut("c0", state_fake.HOST)
        started_at = monotonic()
        with pytest.raises(StateServiceError, match="no answer in time"):
            await state.get("key", Urgency.USER)
        assert monotonic() - started_at < seconds(1)

    curio.run(run)
