"""Parts that have rules of their own: settings, scripts, budget, terms, rooms, HTTP."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path

import curio
import pytest
from click.testing import CliRunner

from micadeal.cli.log_rate_limit import LogRateLimitFilter
from micadeal.cli.main import main
from micadeal.clock import ZERO, seconds
from micadeal.fleet.heartbeat_routing import HeartbeatRoute, HeartbeatRouter
from micadeal.http.client import Client
from micadeal.http.message import BODY_LIMIT, Answer, HttpError, Request, answer
from micadeal.http.server import Server
from micadeal.jobs.model import CHUNK, Job, to_bits
from micadeal.leadership.term import Authority, PeerContact, Term
from micadeal.operator.platform import InvalidSettingsError, parse
from micadeal.operator.script import EXAMPLE, InvalidScriptError, evaluate
from micadeal.placement.bin_packing import ZoneRule, choose, choose_gang
from micadeal.placement.machine_capacity import MachineCapacity
from micadeal.state.budget import Budget
from micadeal.wire.users import Priority, Shape, Submission
from tests.fakes.world import TEAMS, settings


def spec(**fields: object) -> Submission:
    values: dict[str, object] = {
        "job_id": "req-1", "job_class": "c", "team": "red", "shape": Shape.ARRAY,
        "priority": Priority.STANDARD, "tasks": 1, "cpus": 2.0, "gpus": 1.0, "memory_gb": 4.0,
        "image": "img", "image_gb": 1.0, "one_zone": False, "spread": False,
        "spot_allowed": False, "estimate_s": 10.0, "checkpoint_s": 0.0, "save_s": 0.0,
    }  # fmt: skip
    values.update(fields)
    return Submission(**values)  # type: ignore[arg-type]


def capacity(name: str, zone: str = "north", **fields: object) -> MachineCapacity:
    values: dict[str, object] = {"spot": False, "cpus": 8.0, "gpus": 2.0, "memory_gb": 64.0}
    values.update(fields)
    return MachineCapacity(name, "box", zone, **values)  # type: ignore[arg-type]


# -- settings --------------------------------------------------------------------------------


def test_platform_settings_are_read_and_unknown_fields_ignored() -> None:
    platform = parse('colour = "red"\n' + settings(0, TEAMS))
    assert platform.workers.lease == timedelta(seconds=14)
    assert [peer.name for peer in platform.peers] == ["c1", "c2"]
    assert platform.teams["red"].gpus_max == 8 and platform.teams["red"].cpus_max is None


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("lease_s = 14.0", "", "lease_s"),
        ("lease_s = 14.0", 'lease_s = "long"', "lease_s"),
        ("lease_s = 14.0", "lease_s = -1.0", "lease_s"),
        ("lease_s = 14.0", "lease_s = nan", "lease_s"),
        ('domain = "north"', 'domain = "east"', "domain"),
        ('api_addr = "10.0.0.1:8080"', 'api_addr = "here"', "api_addr"),
        ("gpus_max = 8.0", "gpus_max = 1.0", "gpus_max"),
        ("txn_ops = 16", "txn_ops = 0", "txn_ops"),
        ("size = 3", "size = = 3", "not TOML"),
    ],
)
def test_bad_platform_settings_are_named_in_one_line(
    tmp_path: Path, old: str, new: str, named: str
) -> None:
    text = settings(0, TEAMS)
    assert old in text
    with pytest.raises(InvalidSettingsError, match=named):
        parse(text.replace(old, new, 1))
    file = tmp_path / "settings.toml"
    file.write_text(text.replace(old, new, 1))
    for arguments in (["check", str(file)], ["--config", str(file)]):
        result = CliRunner().invoke(main, arguments)
        assert result.exit_code == 2
        assert named in result.output and result.output.count("\n") == 1


def test_a_script_is_evaluated_and_a_bad_one_refused_with_its_line() -> None:
    script = EXAMPLE + "share_timeout_s = 2 * minimum_timeout_s + 60\nhighest_level = 1\n"
    values, level = evaluate(script, "s.star")
    assert level == 1 and "highest_level" not in values  # earlier versions refuse such a value
    assert values["share_timeout_s"] == 90
    assert values["teams"]["team-a"] == {"weight": 2.0, "running_jobs": 40}
    for script, told in (
        ("x = 1\nrefresh_s = 0\n", "s.star:2: refresh_s must be"),
        ("teams = {'a': {'wieght': 2.0}}\n", "s.star:1: "),
        ("x = 1\nx = = 2\n", "s.star:2"),
        ("x = undefined\n", "s.star:1"),
        ("teams = {'a': {'order': 'random'}}", "order must be"),
    ):
        with pytest.raises(InvalidScriptError) as refused:
            evaluate(script, "s.star")
        assert told in str(refused.value)


# -- rules of small parts --------------------------------------------------------------------


def test_a_budget_saves_up_a_burst_and_keeps_a_reserve_for_the_urgent() -> None:
    budget = Budget(rate=10, burst=10, now=ZERO)
    assert all(budget.take(1, ZERO) == ZERO for _ in range(10))
    assert budget.take(1, ZERO) > ZERO
    assert budget.take(1, seconds(0.2), reserve=5) > ZERO
    assert budget.take(1, seconds(0.2)) == ZERO


def test_a_leader_without_touch_answers_workers_only_as_long_as_it_is_safe() -> None:
    """Guards ``ran_cancelled``: its answers must end a lease and a margin before the limit."""
    term = Term(token=5, lease=1, valid_until=seconds(10), informed=seconds(8))
    lease, cancel = seconds(14), seconds(34)

    def authority(at: float, *peers: PeerContact | None) -> Authority:
        return term.authority(seconds(at), list(peers), lease, cancel)

    heard = PeerContact(asked=seconds(30), cancelled=seconds(2))
    told = PeerContact(asked=seconds(30), cancelled=seconds(9))
    assert authority(9.9) is Authority.FULL
    assert authority(11, None, None) is Authority.RENEW_ONLY
    assert authority(26, heard, None) is Authority.NONE
    assert authority(40, heard, heard) is Authority.RENEW_ONLY
    assert authority(48, heard, heard) is Authority.NONE
    assert authority(40, heard, told) is Authority.NONE


def test_a_lease_of_the_state_service_is_no_knowledge_of_cancellations() -> None:
    """Guards ``ran_cancelled`` where renewals come back and nothing of the jobs does; and answers
    to workers where a cancellation has hardly more time than a worker's lease."""
    for cancel, most in ((34, 17.4), (18, 5.0)):
        term = Term(token=5, lease=1, valid_until=seconds(99), informed=seconds(8))
        powers = [
            term.authority(seconds(8 + lag), [], seconds(14), seconds(cancel))
            for lag in (most - 0.1, most + 0.1)
        ]
        assert powers == [Authority.FULL, Authority.NONE]
    unread = Term(token=5, lease=1, valid_until=seconds(99), informed=None)
    cancellations_known_until = seconds(8)
    assert unread.authority(seconds(9), [], seconds(14), seconds(34)) is Authority.NONE
    assert (
        unread.authority(seconds(9), [], seconds(14), seconds(34), cancellations_known_until)
        is Authority.FULL
    )


def test_a_worker_that_comes_back_is_relayed() -> None:
    gate = HeartbeatRouter()
    assert gate.way("m", leading=False, leader=None, now=seconds(1)) is HeartbeatRoute.NOWHERE
    assert gate.way("m", leading=False, leader="a", now=seconds(2)) is HeartbeatRoute.REDIRECT
    assert gate.way("m", leading=False, leader="a", now=seconds(8)) is HeartbeatRoute.RELAY
    gate.relayed("m", seconds(8))
    assert gate.way("m", leading=False, leader="a", now=seconds(20)) is HeartbeatRoute.RELAY
    assert gate.way("m", leading=False, leader="b", now=seconds(21)) is HeartbeatRoute.REDIRECT
    # One that comes from the leader is relayed at once, then sent back, and stays if it returns.
    ways = [gate.way("n", False, "a", seconds(at), knows=True) for at in (1, 4, 10, 13)]
    assert ways == [
        HeartbeatRoute.RELAY,
        HeartbeatRoute.REDIRECT,
        HeartbeatRoute.RELAY,
        HeartbeatRoute.RELAY,
    ]


def test_the_finished_set_survives_in_chunks() -> None:
    big = spec(tasks=100_000)
    job = Job(big, ZERO, 1)
    done = {0, 7, 8, CHUNK - 1, CHUNK, 99_999}
    for index in done:
        job.finish(index)
    other = Job(big, ZERO, 1)
    for chunk in {index // CHUNK for index in done}:
        text = to_bits(job.with_timeout(chunk * CHUNK, CHUNK), chunk * CHUNK)
        assert len(text) <= 4000
        other.load_bits(chunk * CHUNK, text)
    assert other.finished == done and other.next_waiting() == 1


def test_rooms_are_chosen_by_rule_then_image_then_fullness() -> None:
    capacities = [
        capacity("a"),
        capacity("b", images=frozenset({"img"})),
        capacity("c", gpus=1.0, tasks=1),
    ]
    chosen = choose(spec(), capacities, ZoneRule(spec()), False)
    assert chosen is not None and chosen.name == "b"
    spread = spec(spread=True, tasks=3)
    rule = ZoneRule(spread, Counter(north=2))
    assert choose(spread, capacities, rule, False) is None
    assert choose(spec(spot_allowed=True), capacities[:2], ZoneRule(spec()), False) is None
    assert choose(spec(), [capacity("s", spot=True)], ZoneRule(spec()), False) is None


def test_a_gang_is_booked_whole_in_one_zone_or_not_at_all() -> None:
    gang = spec(shape=Shape.GANG, tasks=3, one_zone=True, gpus=2.0)
    capacities = [capacity(f"n{i}") for i in range(2)] + [
        capacity(f"s{i}", "south") for i in range(3)
    ]
    chosen = choose_gang(gang, capacities, False)
    assert chosen is not None and {r.zone for r in chosen} == {"south"}
    assert choose_gang(gang, capacities, False) is None
    assert all(r.gpus == 2.0 for r in capacities if r.zone == "north")


# -- HTTP on real sockets, loopback ----------------------------------------------------------


Story = Callable[[str, int], Awaitable[None]]


def serve_and(story: Story) -> None:
    """Play a story against a server on a port that stays bound from the start."""

    async def echo(request: Request) -> Answer:
        return answer(200, [request.method, request.path, len(request.body)])

    async def play() -> None:
        server = Server(("127.0.0.1", 0), echo, most=4)
        host, port = server.listen()
        task = await curio.spawn(server.run, daemon=True)
        try:
            await story(f"{host}:{port}", port)
        finally:
            await task.cancel()

    curio.run(play)


def test_requests_are_answered_and_connections_kept() -> None:
    async def story(address: str, port: int) -> None:
        client = Client(address)
        for _ in range(3):
            status, body = await client.request("POST", "/x?y=1", b"abc", timeout=seconds(5))
            assert status == 200 and b"/x" in body and body.endswith(b"\x03")
        status, _ = await client.request("POST", "/x", b"a" * (BODY_LIMIT + 1), timeout=seconds(5))
        assert status == 400
        status, _ = await client.request("GET", "/x", timeout=seconds(5))
        assert status == 200
        await client.close()

    serve_and(story)


def test_garbage_and_surplus_connections_do_the_server_no_harm() -> None:
    async def story(address: str, port: int) -> None:
        garbage = await curio.open_connection("127.0.0.1", port)
        await garbage.sendall(b"\x00\x01\x02 nonsense\r\n\r\n")
        assert (await garbage.recv(1000)).startswith(b"HTTP/1.1 400")
        await garbage.close()
        held = [Client(address) for _ in range(4)]
        for client in held:
            await until_served(client)
        surplus = Client(address)
        with pytest.raises(HttpError):
            await surplus.request("GET", "/x", timeout=seconds(5))
        await held[0].close()
        await until_served(surplus)

    serve_and(story)


async def until_served(client: Client) -> None:
    """The server notices only a moment later that a connection has ended."""
    for _ in range(1000):
        try:
            assert (await client.request("GET", "/x", timeout=seconds(5)))[0] == 200
            return
        except HttpError:
            await curio.sleep(0.005)
    raise AssertionError("never served")


# -- logging ---------------------------------------------------------------------------------


def test_a_flood_of_like_warnings_is_cut_and_counted() -> None:
    flood = LogRateLimitFilter()

    def passes(message: str, value: int, at: float, level: int = logging.WARNING) -> str | None:
        record = logging.LogRecord("micadeal", level, "f", 1, message, (value,), None)
        record.created = at
        return record.getMessage() if flood.filter(record) else None

    through = [text for i in range(500) if (text := passes("garbage %d", i, 100 + i / 100))]
    assert len(through) == 20
    assert passes("another %d", 1, 105) == "another 1"
    assert passes("garbage %d", 7, 106, logging.INFO) == "garbage 7"
    assert passes("garbage %d", 9, 111) == "garbage 9 (480 more like it were left out)"
    assert passes("garbage %d", 10, 112) == "garbage 10"
