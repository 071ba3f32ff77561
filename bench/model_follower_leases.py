"""Explores every course of a small world in which followers may stand in for a leader.

    python3 -m bench.model_follower_leases [--crashes 1] [--delayed 1] [--reading]
    python3 -m bench.model_follower_leases --guards

Three controllers, one worker with one task.  The code under test is the real one: a controller is
a ``FollowerLeases``, the leader decides by ``may_expire_leases`` and ``Term.authority``.  Time
moves in
steps of a second; between two steps anything may happen or not: any controller asks any other (a
message that does not happen is a cut), answers are held and come late, controllers crash and are
back at once, the worker reports to whomever it likes, some controller tells that the job is
cancelled, the leader counts the lease as over.  ``--reading``: the leader was elected a moment ago
and its first reads of the records are before it; they may fail, or come late and be older than a
cancellation.  States are told apart only by what can still
matter, so the search ends by itself: it prints how many states can be reached.

A guard that is switched off is a lie to the code under test (``GUARDS``); each must break a rule.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import cache
from typing import Any, NamedTuple

import click

from micadeal.clock import seconds
from micadeal.controller.follower_leases import FollowerLeases
from micadeal.leadership.follower_leases import (
    PeerRenewalView,
    RenewalState,
    RenewalTiming,
    cancellations_listed_until,
    may_expire_leases,
)
from micadeal.leadership.term import Authority, Term
from micadeal.wire.peers import Ping, RenewalPromise
from micadeal.wire.workers import Heartbeat, TaskStatus

TIMING = RenewalTiming(
    lease_expiry=seconds(2),
    cancel_timeout=seconds(5),
    cluster_size=3,
    abstain_duration=seconds(2),
    vote_duration=seconds(2),
    clock_slack=seconds(0),
)
TOKEN = 1
JOB = "req-1"
NOW = seconds(1000)
#: Older than anything that can still matter.
OLD = -9
LEASE, CANCEL = 2, 5
REPORT = Heartbeat(
    "i-1", "", "", "", False, 1, 1, TOKEN, None, [TaskStatus(f"{JOB}/0", 1, "running")]
)

#: A controller as a number: its memory, views of the two others, and whether the job is on its list
#: stand in ``_nodes`` at that place.
Controller = int
_nodes: list[tuple[Any, ...]] = []
_known: dict[tuple[Any, ...], Controller] = {}
#: What a controller says: (age, synced, consent, bound token, bound, has the job on its list).
Said = tuple[int, bool, int, int, int, bool]
#: An answer under way: asker, answerer, when it was asked, the asker's token then, the word.
Flight = tuple[int, int, int, int, Said]


#: The leader has read nothing; records in which the job is alive are on their way; it has a
#: picture, and its list counts; it takes the job for alive whatever the list says (a lie).
UNREAD, UNDER_WAY, READ, MISLED = range(4)


class State(NamedTuple):
    nodes: tuple[Controller, Controller, Controller]
    #: Controller 0 still leads the term that it led at the start.
    leads: bool
    #: When the leader last answered the worker, and last knew of every cancellation.
    heard: int
    informed: int
    #: When the worker's last report that was answered was sent.
    renewed: int
    #: When a user was told "cancelled".
    told: int | None
    #: What the leader has read of the records.
    picture: int
    crashes: int
    flights: tuple[Flight, ...]


def _number(node: tuple[Any, ...]) -> Controller:
    found = _known.get(node)
    if found is None:
        found = _known[node] = len(_nodes)
        _nodes.append(node)
    return found


# -- instants: whole seconds before now in a state, steady time in the code ----------------------


def _back(at: timedelta | None) -> int | None:
    return None if at is None else max(OLD, round((at - NOW).total_seconds()))


def _at(seconds_back: int | None) -> timedelta | None:
    return None if seconds_back is None else NOW + seconds(seconds_back)


def _recent(value: int | None, limit: int) -> int | None:
    """What lies further back than ``limit`` is told apart from nothing any more."""
    return None if value is None or value <= limit else value


def _old(value: int | None, limit: int) -> int | None:
    return OLD if value is not None and value <= limit else value


def _pack(follower_leases: FollowerLeases) -> Controller:
    memory = follower_leases._state
    bound = _recent(_back(memory.committed_until), -LEASE - 1)
    views = []
    for view in follower_leases.views():
        until = _recent(_back(view.vote_until), 0)
        held = _recent(_back(view.committed_until), -LEASE - 1)
        views.append(
            (
                _recent(_back(view.asked_at), -3),
                _old(_back(view.reports_since), -CANCEL - 1),
                _recent(_back(view.abstains_until), 0),
                _old(_back(view.started_at), -LEASE - 3),
                view.vote_token if until is not None else 0,
                until,
                view.committed_token if held is not None else 0,
                held,
                _old(_back(view.synced_list_asked_at), -CANCEL - 1),
                _old(_back(view.list_asked_at), -CANCEL - 1),
            )
        )
    return _number(
        (
            _old(_back(memory.started_at), -CANCEL - 1),
            memory.token,
            _old(_back(memory.leader_heard_at), -2),
            memory.committed_token if bound is not None else 0,
            bound,
            JOB in follower_leases._cancellations,
            tuple(views),
        )
    )


def _unpack(node: Controller) -> FollowerLeases:
    born, token, led, bound_token, bound, listed, views = _nodes[node]
    follower_leases = FollowerLeases("12", TIMING, NOW)
    follower_leases._state = RenewalState(
        NOW + seconds(born), token, _at(led), bound_token, _at(bound)
    )
    for name, view in zip("12", views, strict=True):
        asked, since, quiet, age, consent, until, under, held, told, last = view
        follower_leases._views[name] = PeerRenewalView(
            _at(asked), _at(since), _at(quiet), _at(age), consent, _at(until), under, _at(held),
            _at(told), _at(last),
        )  # fmt: skip
    if listed:
        follower_leases._cancellations[JOB] = NOW
    return follower_leases


@cache
def _lean(node: Controller, leads: bool, led: bool, late: bool) -> Controller:
    """A controller without what no decision can depend on any more.

    ``leads``: it leads; ``led``: somebody does; ``late``: answers may come late.
    """
    born, token, heard, under, bound, listed, views = _nodes[node]
    if not led:
        under, bound = 0, None
    # All must have spoken for long enough, so only the one that has for the shortest time counts.
    latest = max((view[1] for view in views if view[1] is not None), default=OLD)
    silent = any(view[1] is None for view in views)
    lean = []
    for asked, since, quiet, age, consent, until, held_under, held, told, last in views:
        if leads:
            consent, until = 0, None
            told = told if told == 0 else OLD
            last = None if last is None else last if last == 0 else OLD
        else:
            quiet, age, held_under, held, last = None, OLD, 0, None, None
            # Whether the list was given since the start: nothing else is asked of it.
            told = OLD if born == OLD else (0 if told is not None and told >= born else None)
        if since is not None and (silent or since < latest):
            since = OLD
        lean.append(
            (
                *(asked if late else None, since, quiet, age, consent, until),
                *(held_under, held, told, last),
            )
        )
    return _number((born, token, OLD if leads else heard, under, bound, listed, tuple(lean)))


@cache
def _mirrored(node: Controller) -> Controller:
    return _number((*_nodes[node][:6], _nodes[node][6][::-1]))


def _canonical(state: State, late: bool) -> State:
    """One state for all that differ in nothing that matters: the two followers are alike."""
    led = state.leads
    first, one, other = (
        _lean(node, led and index == 0, led, late) for index, node in enumerate(state.nodes)
    )
    flights = state.flights
    if one > other:
        one, other, first = other, one, _mirrored(first)
        swap = (0, 2, 1)
        flights = tuple((swap[a], swap[b], at, token, w) for a, b, at, token, w in flights)
    return state._replace(
        nodes=(first, one, other),
        heard=state.heard if led else 0,
        informed=state.informed if led else 0,
        picture=state.picture if led else READ,
        flights=tuple(sorted(flights)),
    )


@cache
def _older(node: Controller, endless: bool) -> Controller:
    """The same controller a second later; ``endless``: consents given to it stay in force."""

    def shift(value: int | None) -> int | None:
        return None if value is None else max(OLD, value - 1)

    born, token, led, bound_token, bound, listed, views = _nodes[node]
    moved = tuple(
        (
            *map(shift, view[:4]),
            view[4],
            view[5] if endless else shift(view[5]),
            view[6],
            shift(view[7]),
            shift(view[8]),
            shift(view[9]),
        )
        for view in views
    )
    later = (shift(born), token, shift(led), bound_token, shift(bound), listed, moved)
    return _pack(_unpack(_number(later)))


@cache
def _listed(node: Controller) -> Controller:
    """The same controller with the job on its list."""
    return _number((*_nodes[node][:5], True, _nodes[node][6]))


# -- what controllers do -------------------------------------------------------------------------


@cache
def _answer_ping(
    node: Controller, leading: int, wants: int, forget_leader: bool
) -> tuple[Controller, Said]:
    follower_leases = _unpack(node)
    if forget_leader:
        follower_leases._state = replace(follower_leases._state, leader_heard_at=None)
    ping = Ping("c0" if leading else "", False, leading, wants, True)
    word = follower_leases.word(ping, leading=False, state_reachable=False, now=NOW)
    told = word.cancellations is not None and JOB in word.cancellations
    return _pack(follower_leases), (
        round(word.age_ms / 1000), word.synced, word.consent, word.bound_token,
        round(word.bound_ms / 1000), told,
    )  # fmt: skip


@cache
def _hear(node: Controller, peer: str, said: Said, asked: int, leading: int) -> Controller:
    age, join_parts, consent, under, held, told = said
    follower_leases = _unpack(node)
    word = RenewalPromise(
        age * 1000.0, join_parts, consent, under, held * 1000.0, {JOB: 0.0} if told else {}
    )
    follower_leases.on_ping_answer(peer, word, NOW + seconds(asked), NOW, leading)
    return _pack(follower_leases)


@cache
def _stands_in(node: Controller) -> tuple[Controller, bool] | None:
    """The controller after it answered the worker, and whether it stops the task."""
    follower_leases = _unpack(node)
    commands = follower_leases.answer(REPORT, state_reachable=False, now=NOW)
    return None if commands is None else (_pack(follower_leases), bool(commands.commands))


@cache
def _counts(node: Controller) -> bool:
    """Whether the leader takes the lease of a worker that is silent to it for over."""
    began = NOW + seconds(OLD * 2)
    return may_expire_leases(TOKEN, began, _unpack(node).views(), NOW, TIMING)


@cache
def _renews(node: Controller, informed: int | None, ageless: bool) -> bool:
    """Whether a leader that hears nothing of the jobs answers the worker; ``informed``: when it
    last did, None: never; ``ageless``: it takes all lists for whole, however young who gave it."""
    known = None if informed is None else NOW + seconds(informed)
    term = Term(TOKEN, 1, NOW - seconds(1), known)
    follower_leases = _unpack(node)
    views = follower_leases.views()
    if ageless:
        views = tuple(replace(view, started_at=_at(OLD)) for view in views)
    instants = (
        follower_leases.cancellations_known_until(NOW),
        cancellations_listed_until(views, known),
    )
    cancellations_known_until = max(
        (instant for instant in instants if instant is not None), default=None
    )
    authority = term.authority(
        NOW, [None], TIMING.lease_expiry, TIMING.cancel_timeout, cancellations_known_until
    )
    return authority is Authority.RENEW_ONLY


Fields = tuple[Any, ...]
Change = Callable[[Fields], Fields]


@dataclass(frozen=True, slots=True)
class Lies:
    """What the code under test is told in the place of the truth."""

    leader_asks_nobody: bool = False
    consents_forged: bool = False
    leader_forgotten: bool = False
    tells_alone: bool = False
    dated_by_receipt: bool = False
    consents_endless: bool = False
    #: That nothing was cancelled before it was elected; that only its picture says what to stop;
    #: that a notice which came before the records is of no use after them.
    informed_by_election: bool = False
    stops_by_picture: bool = False
    early_notices_lost: bool = False
    #: That a list has all that an earlier process told.
    lists_ageless: bool = False
    #: That no cancellation can be unknown.
    answers_for_ever: bool = False
    #: To a controller about itself, to a leader about the others, and to all about what is said.
    of_itself: Change | None = None
    of_others: Change | None = None
    of_words: Callable[[Said], Said] | None = None


def _views(change: Change) -> Change:
    return lambda node: (*node[:6], tuple(map(change, node[6])))


@dataclass(frozen=True, slots=True)
class Guard:
    """A lie that switches a guard off, and the smallest world in which that breaks a rule."""

    lies: Lies
    crashes: int = 0
    delayed: int = 0
    reading: bool = False
    #: It takes hundreds of thousands of states to find.
    large: bool = False


GUARDS: dict[str, Guard] = {
    "a leader asks for words before it counts a lease as over": Guard(
        Lies(leader_asks_nobody=True)
    ),
    "standing in needs consents": Guard(Lies(consents_forged=True)),
    "no consent while the word given to a leader holds": Guard(Lies(leader_forgotten=True)),
    "no consent while the word of an earlier process may hold": Guard(
        Lies(of_itself=lambda node: (OLD, *node[1:])), crashes=1
    ),
    "a leader reckons with what an earlier process consented to": Guard(
        Lies(of_others=_views(lambda view: (*view[:3], OLD, *view[4:]))), crashes=1
    ),
    "a leader waits a lease from the end of a consent": Guard(
        Lies(of_others=_views(lambda view: (*view[:6], 0, None, *view[8:])))
    ),
    "a consent ends": Guard(Lies(consents_endless=True)),
    "answers are dated by their questions": Guard(
        Lies(dated_by_receipt=True), delayed=1, large=True
    ),
    "others know of a cancellation before it is told": Guard(Lies(tells_alone=True)),
    "lists of cancellations come with words": Guard(Lies(of_words=lambda said: (*said[:5], False))),
    "a leader's answers end where cancellations may be unknown": Guard(Lies(answers_for_ever=True)),
    "being elected is no knowledge of what is cancelled": Guard(
        Lies(informed_by_election=True), reading=True
    ),
    "a list lacks what an earlier process told": Guard(
        Lies(lists_ageless=True), crashes=2, large=True
    ),
    "what is on the list is stopped before the records are read": Guard(
        Lies(stops_by_picture=True), reading=True
    ),
    "a notice that comes before the records holds after them": Guard(
        Lies(early_notices_lost=True), reading=True
    ),
    "what a restart has lost from the list is asked for": Guard(
        Lies(of_words=lambda said: (said[0], True, *said[2:])), crashes=1, large=True
    ),
}


class Broken(Exception):
    """A rule."""


def _with(state: State, index: int, node: Controller) -> tuple[Controller, Controller, Controller]:
    first, one, other = state.nodes
    return (
        (node, one, other) if index == 0 else (first, node, other) if index == 1
        else (first, one, node)
    )  # fmt: skip


def _name(owner: int, other: int) -> str:
    """Under which name a controller has another."""
    return "1" if other == (1 if owner == 0 else 0) else "2"


def _believed(node: Controller, change: Change | None, forged: bool = False) -> Controller:
    if change is None and not forged:
        return node
    fields = _nodes[node] if change is None else change(_nodes[node])
    if forged:
        fields = (*fields[:6], tuple((*v[:4], TOKEN, 1, *v[6:]) for v in fields[6]))
    return _number(fields)


def _kept(before: Controller, after: Controller) -> Controller:
    """What a controller that was lied to has become, without the lies."""
    if before == after:
        return before
    was, now = _nodes[before], _nodes[after]
    return _number((was[0], *now[1:6], was[6]))


def _moves(state: State, lies: Lies, delayed: int) -> Iterator[tuple[str, State | None]]:
    """All that may happen next.  None: the task is gone, nothing can be broken any more."""
    nodes = state.nodes
    if state.told is not None and state.told <= -CANCEL:
        raise Broken("ran_cancelled")
    if state.renewed - 1 >= -LEASE:
        later = state._replace(
            nodes=(
                _older(nodes[0], lies.consents_endless),
                _older(nodes[1], lies.consents_endless),
                _older(nodes[2], lies.consents_endless),
            ),
            heard=max(state.heard - 1, -LEASE - 1),
            informed=max(state.informed - 1, -1),
            renewed=state.renewed - 1,
            told=None if state.told is None else state.told - 1,
            flights=tuple((a, b, at - 1, t, w) for a, b, at, t, w in state.flights if at > -2),
        )
        yield "a second passes", later
    yield from _questions(state, lies, delayed)
    for index in range(1 if state.leads else 0, 3):
        believed = _believed(nodes[index], lies.of_itself, lies.consents_forged)
        stands = _stands_in(believed)
        if stands is not None:
            after, stop_commands = _kept(nodes[index], stands[0]), stands[1]
            renewed = state._replace(nodes=_with(state, index, after), renewed=0)
            yield (
                f"{index} answers the worker in the leader's place",
                None if stop_commands else renewed,
            )
    if state.leads:
        yield from _leader(state, lies)
    if state.told is None:
        for teller in range(3):
            others = [teller] if lies.tells_alone else [n for n in range(3) if n != teller]
            for other in others:
                told = state._replace(nodes=_with(state, teller, _listed(nodes[teller])), told=0)
                told = told._replace(nodes=_with(told, other, _listed(told.nodes[other])))
                yield f"{teller} tells that the job is cancelled, {other} knows", told
    if state.crashes:
        fresh = _pack(FollowerLeases("12", TIMING, NOW))
        for index in range(3):
            yield (
                f"{index} crashes and is back",
                state._replace(
                    nodes=_with(state, index, fresh),
                    leads=state.leads and index != 0,
                    crashes=state.crashes - 1,
                    flights=tuple(f for f in state.flights if f[0] != index),
                ),
            )


def _questions(state: State, lies: Lies, delayed: int) -> Iterator[tuple[str, State]]:
    """Controllers ask each other; some answers come late."""
    nodes = state.nodes
    for asker in range(3):
        leading = TOKEN if asker == 0 and state.leads else 0
        for peer in range(3):
            if peer == asker:
                continue
            # A leader consents to nothing: it is asked for its list only.
            silent = leading or (peer == 0 and state.leads)
            wants = 0 if silent else _nodes[nodes[asker]][1]
            answering = _believed(nodes[peer], lies.of_itself)
            after, said = _answer_ping(answering, leading, wants, lies.leader_forgotten)
            if lies.of_words is not None:
                said = lies.of_words(said)
            asked = state._replace(nodes=_with(state, peer, _kept(nodes[peer], after)))
            heard = _hear(nodes[asker], _name(asker, peer), said, 0, leading)
            yield f"{asker} asks {peer}", asked._replace(nodes=_with(asked, asker, heard))
            if len(state.flights) < delayed:
                flight = (asker, peer, 0, leading, said)
                late = asked._replace(flights=(*state.flights, flight))
                yield f"{asker} asks {peer}, slowly", late
    for flight in state.flights:
        asker, peer, at, leading, said = flight
        at = 0 if lies.dated_by_receipt else at
        heard = _hear(nodes[asker], _name(asker, peer), said, at, leading)
        rest = tuple(f for f in state.flights if f is not flight)
        arrived = state._replace(nodes=_with(state, asker, heard), flights=rest)
        yield f"the slow answer of {peer} reaches {asker}", arrived


def _leader(state: State, lies: Lies) -> Iterator[tuple[str, State | None]]:
    node = state.nodes[0]
    believed = _believed(node, lies.of_others)
    if state.heard < -LEASE and (lies.leader_asks_nobody or _counts(believed)):
        # The task would be started elsewhere, and it is still here.
        raise Broken("ran_twice")
    listed = _nodes[node][5]
    yield from _reads(state, lies, listed)
    has_picture = state.picture in (READ, MISLED)
    if state.told is None and has_picture:
        yield "the leader answers, in touch", state._replace(heard=0, informed=0, renewed=0)
    elif has_picture and not (listed and state.picture == READ):
        # The watch tells it; the task is stopped with the next answer.
        heard = state._replace(nodes=_with(state, 0, _listed(node)), picture=READ)
        yield "the leader hears of the cancellation", heard
    informed = state.informed if has_picture or lies.informed_by_election else None
    if lies.answers_for_ever or _renews(believed, informed, lies.lists_ageless):
        stop_commands = listed and state.picture != MISLED
        if lies.stops_by_picture and not has_picture:
            stop_commands = False
        answered = state._replace(heard=0, renewed=0)
        yield "the leader answers, out of touch", None if stop_commands else answered


def _reads(state: State, lies: Lies, listed: bool) -> Iterator[tuple[str, State]]:
    """The first reads of a leader: answered by the service, and come to it, in two steps."""
    if state.picture == UNREAD:
        if state.told is None:
            read = state._replace(picture=UNDER_WAY, informed=0)
            yield "the leader's records are read, the job is alive", read
        else:
            nodes = _with(state, 0, _listed(state.nodes[0]))
            read = state._replace(picture=READ, informed=0, nodes=nodes)
            yield "the leader reads its records, the job is cancelled", read
    elif state.picture == UNDER_WAY:
        lost = listed and lies.early_notices_lost
        yield "the records come", state._replace(picture=MISLED if lost else READ)


def starts(crashes: int, reading: bool) -> list[State]:
    """A leader that has been there for long; or one elected just now, when nothing was cancelled
    yet or a job was a while ago, as two others know."""
    view = (None, OLD, None, OLD, 0, None, 0, None, OLD, OLD)
    node = _number((OLD, TOKEN, 0, 0, None, False, (view, view)))
    quiet = State((node, node, node), True, 0, 0, 0, None, READ, crashes, ())
    if not reading:
        return [quiet]
    elected = quiet._replace(picture=UNREAD)
    knows = _listed(node)
    before = elected._replace(nodes=(node, knows, knows), told=LEASE - CANCEL, renewed=-1)
    return [elected, before]


@dataclass(frozen=True, slots=True)
class Outcome:
    states: int
    #: All that can be reached was looked at.
    complete: bool
    #: The rule broken and the shortest way there; empty: none.
    rule: str = ""
    way: tuple[str, ...] = ()


def explore(
    crashes: int = 0,
    delayed: int = 0,
    lies: Lies | None = None,
    most: int = 0,
    reading: bool = False,
) -> Outcome:
    """All states, breadth first; ``most``: give up looking beyond so many (0: never)."""
    late = delayed > 0
    first = [_canonical(state, late) for state in starts(crashes, reading)]
    came_from: dict[State, tuple[State, str] | None] = dict.fromkeys(first)
    front = deque(first)
    while front:
        if most and len(came_from) > most:
            return Outcome(len(came_from), False)
        state = front.popleft()
        try:
            for what, after in _moves(state, lies or Lies(), delayed):
                if after is None:
                    continue
                after = _canonical(after, late)
                if after not in came_from:
                    came_from[after] = (state, what)
                    front.append(after)
        except Broken as problem:
            way: list[str] = []
            link = came_from[state]
            while link is not None:
                way.append(link[1])
                link = came_from[link[0]]
            return Outcome(len(came_from), False, str(problem), tuple(reversed(way)))
    return Outcome(len(came_from), True)


@click.command()
@click.option("--crashes", default=0, show_default=True, help="Crashes in one course.")
@click.option("--delayed", default=0, show_default=True, help="Answers under way at once.")
@click.option("--reading", is_flag=True, help="The leader was elected a moment ago.")
@click.option(
    "--guards", is_flag=True, help="Switch each guard off in turn, each in its own world."
)
@click.option("--most", default=0, help="Give up beyond so many states (0: never).")
def main(crashes: int, delayed: int, reading: bool, guards: bool, most: int) -> None:
    """Print how many states there are, and how long it took; the way to a broken rule, if any."""
    if not guards:
        _show("as it is", Guard(Lies(), crashes, delayed, reading), most)
    for name, guard in GUARDS.items() if guards else ():
        _show(f"without: {name}", guard, most)


def _show(name: str, guard: Guard, most: int) -> None:
    began = time.perf_counter()
    found = explore(guard.crashes, guard.delayed, guard.lies, most, guard.reading)
    spent = time.perf_counter() - began
    rule = found.rule or ("no rule broken" if found.complete else "given up")
    click.echo(f"{name}: {found.states} states, {spent:.1f} s, {rule}")
    for step in found.way:
        click.echo(f"    {step}")


if __name__ == "__main__":
    main()
