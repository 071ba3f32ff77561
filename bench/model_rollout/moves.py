"""Everything that may happen next in the small world."""

from __future__ import annotations

from collections.abc import Iterator

from bench.model_rollout.state import (
    DATA,
    HEARD_OLD_VERSION,
    KINDS,
    Controller,
    HeardProcess,
    Snapshot,
    State,
    build_of,
    lock_entries,
    name_of,
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

#: What the code under test takes for the present time.
NOW = seconds(1000)
#: Every process that was heard has answered since this time.
HEARD_SINCE = seconds(900)


def moves(state: State) -> Iterator[State | None]:
    """Yield all states that may come next; None: a move that is not possible now.

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
            for kind in KINDS:
                restarted = Controller(kind, controller.process + 1)
                yield with_controller(state, index, restarted, ends=state.ends - 1)
        if controller.kind is None:
            yield from _moves_of_old_version(state, index, controller)
        elif controller.token:
            yield from _moves_of_leader(state, index, controller)
        else:
            yield from _moves_of_follower(state, index, controller)


def _lease_expires(state: State) -> State | None:
    """Let the leader's lease expire; by its own clock the leader has stood down before."""
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
    record = {"controller": name_of(index), "lease": lease}
    sent = transaction(
        index, controller, [Condition(LEADER, 0)], [Put(LEADER, record, lease)], wins=True
    )
    yield send(state, sent, last_lease=lease)


def _moves_of_follower(state: State, index: int, controller: Controller) -> Iterator[State | None]:
    name, process = name_of(index), process_of(controller)
    stored = read_lock(state.store)
    registered = leader_locks.registered(stored, name, process)
    seen = controller.seen
    if seen is None or read_lock(seen.entries) != stored or registered != controller.registered:
        looked = controller._replace(seen=_snapshot(state), registered=registered)
        yield with_controller(state, index, looked)
    if seen is None:
        return
    lock = read_lock(seen.entries)
    if not controller.registered:
        conditions, changes = leader_locks.registration(lock, name, process, 0.0)
        yield send(state, transaction(index, controller, conditions, changes))
        return
    if not lock.taken and leader_locks.refusal(lock, name, process) is None:
        lease = state.last_lease + 1
        conditions, changes = leader_locks.acquisition(lock, name, lease)
        sent = transaction(index, controller, conditions, changes, wins=True)
        yield send(state, sent, last_lease=lease)


def _snapshot(state: State) -> Snapshot:
    return Snapshot(lock_entries(state.store), state.revision)


def _moves_of_leader(state: State, index: int, leader: Controller) -> Iterator[State | None]:
    lock = read_lock(state.store)
    if lock.token != leader.token:
        return
    if lock.fence != leader.fence:
        # Until it reads the lock again, the leader writes by an earlier one.
        looked = leader._replace(fence=lock.fence, seen=_snapshot(state))
        yield with_controller(state, index, looked)
        known = read_lock(leader.seen.entries) if leader.seen else lock
        yield _write(state, index, leader, known.level.writes)
        return
    yield _write(state, index, leader, lock.level.writes)
    yield _rewrite(state, index, leader, lock)
    yield from _hear_peers(state, index, leader)
    yield _change_level(state, index, leader, lock)


def _hear_peers(state: State, index: int, leader: Controller) -> Iterator[State]:
    """Let the leader learn the process of each peer whose process it does not know."""
    for peer_index, peer in enumerate(state.controllers):
        if peer_index == index:
            continue
        process = _heard_process(peer)
        if leader.heard[peer_index] != process:
            heard = (*leader.heard[:peer_index], process, *leader.heard[peer_index + 1 :])
            yield with_controller(state, index, leader._replace(heard=heard))


def _heard_process(peer: Controller) -> HeardProcess:
    return HEARD_OLD_VERSION if peer.kind is None else HeardProcess(peer.process, peer.kind)


def _change_level(state: State, index: int, leader: Controller, lock: LeaderLock) -> State | None:
    """Let the leader take the next step of the feature level, if it plans one."""
    name, process = name_of(index), process_of(leader)
    observations = {
        name_of(peer): _observation(heard)
        for peer, heard in enumerate(leader.heard)
        if peer != index
    }
    backlog = _migration_backlog(state, lock)
    plan = migration.plan(lock.level, process, observations, state.ceiling, backlog, NOW)
    if plan.next_record is None:
        return None
    depends_on: list[str] = []
    if plan.is_raise:
        if migration.objections_to_raise(plan, lock, name, process, observations):
            return None
        depends_on = [who for who in (name, *observations) if who in lock.members]
    conditions, changes = leader_locks.level_change(
        lock, plan.next_record, name, lock.lease, leader.token, depends_on
    )
    return send(state, transaction(index, leader, conditions, changes))


def _migration_backlog(state: State, lock: LeaderLock) -> migration.MigrationBacklog:
    layouts = [
        int(entry.key.removeprefix(DATA)) for entry in state.store if entry.key.startswith(DATA)
    ]
    return migration.MigrationBacklog(
        sum(layout < lock.level.writes for layout in layouts),
        sum(layout > lock.level.writes for layout in layouts),
    )


def _observation(heard: HeardProcess | None) -> PeerObservation:
    if heard is None:
        return PeerObservation()
    process = None if heard.kind is None else Process(str(heard.process), build_of(heard.kind))
    return PeerObservation(process, HEARD_SINCE, NOW)


def _write(state: State, index: int, leader: Controller, layout: int) -> State | None:
    if not state.writes:
        return None
    sent = transaction(
        index, leader, [Condition(LEADER, leader.fence)], [Put(f"{DATA}{layout}", 1)]
    )
    return send(state, sent, writes=state.writes - 1)


def _rewrite(state: State, index: int, leader: Controller, lock: LeaderLock) -> State | None:
    """Let the leader rewrite the first record of another layout."""
    target = f"{DATA}{lock.level.writes}"
    for entry in state.store:
        if entry.key.startswith(DATA) and entry.key != target:
            conditions = [Condition(LEADER, leader.fence), Condition(entry.key, entry.version)]
            changes: list[Put | Delete] = [Put(target, 1), Delete(entry.key)]
            return send(state, transaction(index, leader, conditions, changes))
    return None
