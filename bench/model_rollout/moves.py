"""All moves that are possible in a state of the model."""

from __future__ import annotations

from collections.abc import Iterator

from bench.model_rollout.state import (
    HIGHEST_LEVELS,
    OBSERVED_OLD_VERSION,
    RECORD_PREFIX,
    Controller,
    ObservedProcess,
    Snapshot,
    State,
    build_of,
    controller_name,
    lock_entries,
    process_of,
    read_lock,
    with_controller,
)
from bench.model_rollout.transactions import apply, lose, send, transaction
from micadeal.clock import seconds
from micadeal.rollout import leader_lock as leader_locks
from micadeal.rollout import migration
from micadeal.rollout.leader_lock import LeaderLock
from micadeal.rollout.membership import PeerObservation, Process
from micadeal.schema.keys import LEADER
from micadeal.wire.state import Condition, Delete, Put

#: The present time of the code under test.
NOW = seconds(1000)
#: Every observed process has answered since this time.
OBSERVED_SINCE = seconds(900)


def moves(state: State) -> Iterator[State | None]:
    """Yield the state after each move; None for a move that is not possible now.

    Raises ``RuleBrokenError`` where a transaction breaks a rule.
    """
    for sent in state.in_flight:
        yield apply(state, sent)
        yield lose(state, sent)
    if state.expiries:
        yield _lease_expires(state)
    if state.turns:
        ceiling = 1 if state.ceiling is None else None
        yield state._replace(turns=state.turns - 1, ceiling=ceiling)
        yield state._replace(turns=state.turns - 1, ceiling=0)
    for index, controller in enumerate(state.controllers):
        if state.ends:
            for highest_level in HIGHEST_LEVELS:
                restarted = Controller(highest_level, controller.process + 1)
                yield with_controller(state, index, restarted, ends=state.ends - 1)
        if controller.highest_level is None:
            yield from _moves_of_old_version(state, index, controller)
        elif controller.token:
            yield from _moves_of_leader(state, index, controller)
        else:
            yield from _moves_of_follower(state, index, controller)


def _lease_expires(state: State) -> State | None:
    """Let the leader's lease expire; the leader has stepped down before, by its own clock."""
    if all(entry.lease is None for entry in state.store):
        return None
    return state._replace(
        store=tuple(entry for entry in state.store if entry.lease is None),
        controllers=tuple(
            controller._replace(token=0, fence=0) for controller in state.controllers
        ),
        revision=state.revision + 1,
        expiries=state.expiries - 1,
    )


def _moves_of_old_version(
    state: State, index: int, controller: Controller
) -> Iterator[State | None]:
    """Yield the moves of a version without feature levels: it campaigns if ``leader`` is absent."""
    if controller.token:
        yield _write(state, index, controller, 0)
        return
    if any(entry.key == LEADER for entry in state.store):
        return
    lease = state.last_lease + 1
    record = {"controller": controller_name(index), "lease": lease}
    sent = transaction(
        index, controller, [Condition(LEADER, 0)], [Put(LEADER, record, lease)], is_election=True
    )
    yield send(state, sent, last_lease=lease)


def _moves_of_follower(state: State, index: int, controller: Controller) -> Iterator[State | None]:
    name, process = controller_name(index), process_of(controller)
    stored = read_lock(state.store)
    registered = leader_locks.registered(stored, name, process)
    seen = controller.seen
    if seen is None or read_lock(seen.entries) != stored or registered != controller.registered:
        updated = controller._replace(seen=_snapshot(state), registered=registered)
        yield with_controller(state, index, updated)
    if seen is None:
        return
    leader_lock = read_lock(seen.entries)
    if not controller.registered:
        conditions, changes = leader_locks.registration(leader_lock, name, process, 0.0)
        yield send(state, transaction(index, controller, conditions, changes))
        return
    if not leader_lock.taken and leader_locks.refusal(leader_lock, name, process) is None:
        lease = state.last_lease + 1
        conditions, changes = leader_locks.acquisition(leader_lock, name, lease)
        sent = transaction(index, controller, conditions, changes, is_election=True)
        yield send(state, sent, last_lease=lease)


def _snapshot(state: State) -> Snapshot:
    return Snapshot(lock_entries(state.store), state.revision)


def _moves_of_leader(state: State, index: int, leader: Controller) -> Iterator[State | None]:
    leader_lock = read_lock(state.store)
    if leader_lock.token != leader.token:
        return
    if leader_lock.fence != leader.fence:
        # Until it reads the lock again, the leader writes at the level that it read before.
        updated = leader._replace(fence=leader_lock.fence, seen=_snapshot(state))
        yield with_controller(state, index, updated)
        last_read = read_lock(leader.seen.entries) if leader.seen else leader_lock
        yield _write(state, index, leader, last_read.level.writes)
        return
    yield _write(state, index, leader, leader_lock.level.writes)
    yield _rewrite(state, index, leader, leader_lock)
    yield from _observe_peers(state, index, leader)
    yield _change_level(state, index, leader, leader_lock)


def _observe_peers(state: State, index: int, leader: Controller) -> Iterator[State]:
    """Let the leader observe the process of each peer whose current process it does not know."""
    for peer_index, peer in enumerate(state.controllers):
        if peer_index == index:
            continue
        process = _observed_process(peer)
        if leader.observed[peer_index] != process:
            observed = (*leader.observed[:peer_index], process, *leader.observed[peer_index + 1 :])
            yield with_controller(state, index, leader._replace(observed=observed))


def _observed_process(peer: Controller) -> ObservedProcess:
    return (
        OBSERVED_OLD_VERSION
        if peer.highest_level is None
        else ObservedProcess(peer.process, peer.highest_level)
    )


def _change_level(
    state: State, index: int, leader: Controller, leader_lock: LeaderLock
) -> State | None:
    """Let the leader make the next change of the feature level, if it plans one."""
    name, process = controller_name(index), process_of(leader)
    observations = {
        controller_name(peer): _observation(observed)
        for peer, observed in enumerate(leader.observed)
        if peer != index
    }
    backlog = _migration_backlog(state, leader_lock)
    plan = migration.plan(leader_lock.level, process, observations, state.ceiling, backlog, NOW)
    if plan.next_record is None:
        return None
    depends_on: list[str] = []
    if plan.is_raise:
        if migration.objections_to_raise(plan, leader_lock, name, process, observations):
            return None
        depends_on = [who for who in (name, *observations) if who in leader_lock.members]
    conditions, changes = leader_locks.level_change(
        leader_lock, plan.next_record, name, leader_lock.lease, leader.token, depends_on
    )
    return send(state, transaction(index, leader, conditions, changes))


def _migration_backlog(state: State, leader_lock: LeaderLock) -> migration.MigrationBacklog:
    layouts = [
        int(entry.key.removeprefix(RECORD_PREFIX))
        for entry in state.store
        if entry.key.startswith(RECORD_PREFIX)
    ]
    return migration.MigrationBacklog(
        sum(layout < leader_lock.level.writes for layout in layouts),
        sum(layout > leader_lock.level.writes for layout in layouts),
    )


def _observation(observed: ObservedProcess | None) -> PeerObservation:
    if observed is None:
        return PeerObservation()
    process = (
        None
        if observed.highest_level is None
        else Process(str(observed.process), build_of(observed.highest_level))
    )
    return PeerObservation(process, OBSERVED_SINCE, NOW)


def _write(state: State, index: int, leader: Controller, layout: int) -> State | None:
    if not state.writes:
        return None
    sent = transaction(
        index, leader, [Condition(LEADER, leader.fence)], [Put(f"{RECORD_PREFIX}{layout}", 1)]
    )
    return send(state, sent, writes=state.writes - 1)


def _rewrite(state: State, index: int, leader: Controller, leader_lock: LeaderLock) -> State | None:
    """Let the leader rewrite the first record of another layout."""
    target = f"{RECORD_PREFIX}{leader_lock.level.writes}"
    for entry in state.store:
        if entry.key.startswith(RECORD_PREFIX) and entry.key != target:
            conditions = [Condition(LEADER, leader.fence), Condition(entry.key, entry.version)]
            changes: list[Put | Delete] = [Put(target, 1), Delete(entry.key)]
            return send(state, transaction(index, leader, conditions, changes))
    return None
