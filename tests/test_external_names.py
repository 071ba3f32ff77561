"""Names and texts that other programs and people rely on, compared with ``golden/``.

They are keys of the state service, HTTP paths and answers, and fields of settings files and
scripts.  The recorded files must never be regenerated.
"""

from __future__ import annotations

import json
import re
import socket
import threading
from collections.abc import Iterator
from dataclasses import astuple
from datetime import timedelta
from pathlib import Path
from typing import Any

import curio
import msgspec
import pytest

from micadeal.http.message import Answer, Request, answer, error
from micadeal.http.server import Server
from micadeal.operator.options import Options
from micadeal.operator.options import load as load_options
from micadeal.operator.platform import InvalidSettingsError, Platform, parse
from micadeal.operator.script import InvalidScriptError, evaluate, policy_from_values
from micadeal.schema import keys
from micadeal.schema.job_records import part_key
from tests.fakes.world import World

GOLDEN = Path(__file__).parent / "golden"
SETTINGS_TEXT = (GOLDEN / "settings.toml").read_text()


def recorded(name: str) -> Any:
    return json.loads((GOLDEN / name).read_text())


def json_form(value: Any) -> Any:
    """Return a value as it would be read back from JSON."""
    if isinstance(value, timedelta):
        return value.total_seconds()
    if isinstance(value, dict):
        return {key: json_form(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [json_form(item) for item in value]
    return value


# -- keys of the state service -----------------------------------------------------------------


def test_names_of_keys() -> None:
    assert keys.LEADER == "leader"
    assert keys.LEADER_LOCK_PREFIX == "seat/"
    assert keys.LOCK_HOLDER == "seat/held"
    assert keys.LEVEL == "seat/level"
    assert keys.MEMBER == "seat/member/"
    assert keys.UNCONFIRMED == "seat/unconfirmed/"
    assert keys.JOBS == "job/"
    assert keys.PARTS == "part/"
    assert keys.ENDS == "end/"
    assert keys.DONE == "done/"
    assert keys.FINISHED == "finished/"
    assert keys.PLACED == "placed/"
    assert keys.MACHINE_PLACEMENTS == "machine/"
    assert keys.IMAGES == "images/"
    assert keys.LEAVING == "leaving/"
    assert keys.SETTINGS == "settings"
    assert part_key("req-000412", 3) == "part/req-000412/3"
    assert keys.job_id_of_key("done/req-000412/7") == "req-000412"
    assert keys.job_id_of_key("finished/req-000412/7") == "req-000412"


#: Keys written while a few jobs run, with each number replaced by ``#``.
WRITTEN_KEYS = {
    "leader",
    "seat/held",
    "seat/level",
    "seat/member/c#",
    "job/req-#",
    "end/req-#",
    "finished/req-#/#",
    "placed/#/#",
    "images/#",
    "settings",
}


async def write_all_keys(world: World) -> set[str]:
    """Run jobs until every kind of key was stored or 120 s have passed; return the keys seen."""
    seen: set[str] = set()

    def all_keys_seen() -> bool:
        seen.update(re.sub(r"[0-9]+", "#", key) for key in world.state.keys)
        return seen >= WRITTEN_KEYS

    settings = {"script": "refresh_s = 3\n", "values": {"refresh_s": 3}}
    await world.run_job("array", 24, run_s=6.0)
    await world.call(0, "POST", "/settings", settings)
    for _ in range(240):
        if all_keys_seen():
            break
        await curio.sleep(0.5)
    return seen


def test_keys_written_as_jobs_run(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        assert await write_all_keys(world) == WRITTEN_KEYS

    World().play(monkeypatch, scenario)


# -- HTTP --------------------------------------------------------------------------------------


async def ask(world: World, case: dict[str, Any]) -> dict[str, Any]:
    """Send a recorded request; return the answer, or only its field names if it depends on time."""
    port = {"api": 8080, "mesh": 8081}[case["address"]]
    body = bytes.fromhex(case["hex"]) if "hex" in case else b""
    if "body" in case:
        body = msgspec.msgpack.encode(case["body"])
    number = case.get("number", 0)
    leader = world.leader()
    assert leader is not None
    number = {"leader": leader, "follower": (leader + 1) % 3}.get(number, number)
    _, handler = world.network._servers[f"10.0.0.{number + 1}:{port}"]
    reply = await handler(Request(case["method"], case["path"], "", body))
    content = msgspec.msgpack.decode(reply.body) if reply.body else None
    wait = None if reply.retry_after is None else reply.retry_after.total_seconds()
    result: dict[str, Any] = {"status": reply.status, "retry_after": wait}
    if case.get("only_fields"):
        return {**result, "fields": list(content or ())}
    return {**result, "reply": content}


async def play_cases(world: World, cases: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Send the requests of each phase in turn; return the answers."""
    replies: list[dict[str, Any]] = []
    phase = ""
    for case in cases:
        if case["phase"] != phase:
            phase = case["phase"]
            world.state.outage = phase == "outage"
            await curio.sleep({"serving": 5.0, "outage": 1.0}[phase])
        replies.append(await ask(world, case))
    world.state.outage = False
    return replies


def test_paths_methods_and_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    cases = recorded("http.json")

    async def scenario(world: World) -> None:
        replies = await play_cases(world, [case["request"] for case in cases])
        for case, reply in zip(cases, replies, strict=True):
            assert reply == case["answer"], case["request"]

    World().play(monkeypatch, scenario)


async def _answer_for_bytes(request: Request) -> Answer:
    match request.path:
        case "/fine":
            return answer(200, {"a": 1})
        case "/later":
            return error(503, "not now", timedelta(seconds=1.2))
        case "/broken":
            raise RuntimeError
    return error(404, "no such path")


@pytest.fixture(scope="module")
def server_address() -> Iterator[tuple[str, int]]:
    server = Server(("127.0.0.1", 0), _answer_for_bytes, max_connections=20)
    address = server.listen()
    threading.Thread(target=curio.run, args=(server.run,), daemon=True).start()
    yield address


def exchange(address: tuple[str, int], sent: bytes) -> bytes:
    with socket.create_connection(address, timeout=5) as connection:
        connection.sendall(sent)
        connection.shutdown(socket.SHUT_WR)
        received = b""
        while data := connection.recv(65536):
            received += data
    return received


#: Requests, each with all bytes that the server sends in response.
EXCHANGES = json.loads((GOLDEN / "http_bytes.json").read_text())


@pytest.mark.parametrize("case", EXCHANGES, ids=lambda case: case["name"])
def test_bytes_of_answers(server_address: tuple[str, int], case: dict[str, Any]) -> None:
    sent = case["sent"].encode("latin-1") + b"x" * case.get("body_bytes", 0)
    assert exchange(server_address, sent).decode("latin-1") == case["received"]


# -- settings files ----------------------------------------------------------------------------


def altered_settings() -> Iterator[tuple[str, str]]:
    """Yield a name and settings with one line or section left out, or one value replaced."""
    lines = SETTINGS_TEXT.splitlines(keepends=True)
    section = ""
    for number, line in enumerate(lines):
        if line.startswith("["):
            section = line.strip("[]\n") + "."
        if " = " not in line:
            continue
        field = line.split(" = ")[0]
        for name, new in (
            ("without", ""),
            ("negative", f"{field} = -1\n"),
            ("of another type", f"{field} = {{}}\n"),
            ("empty", f'{field} = ""\n'),
        ):
            yield f"{section}{field} {name}", "".join([*lines[:number], new, *lines[number + 1 :]])
    for header in [line for line in lines if line.startswith("[")]:
        start = lines.index(header)
        end = next(i for i in [*range(start, len(lines)), -1] if i < 0 or not lines[i].strip())
        rest = lines[:start] + (lines[end:] if end >= 0 else [])
        yield f"{header.strip()} without", "".join(rest)


def read_settings(text: str) -> Any:
    """Return the values read, without names of Python fields, or the error text."""
    try:
        platform: Platform = parse(text)
    except InvalidSettingsError as problem:
        return str(problem)
    return json_form(astuple(platform))


def test_full_settings_are_read() -> None:
    assert read_settings(SETTINGS_TEXT) == recorded("settings.json")["full"]


@pytest.mark.parametrize(("name", "text"), list(altered_settings()))
def test_settings_with_one_field_missing_or_invalid(name: str, text: str) -> None:
    assert read_settings(text) == recorded("settings.json")["altered"][name]


def test_settings_with_replaced_values() -> None:
    for case in recorded("settings.json")["replaced"]:
        text = SETTINGS_TEXT.replace(case["old"], case["new"], 1)
        assert text != SETTINGS_TEXT
        assert read_settings(text) == case["said"]


def read_options(path: Path, text: str) -> Any:
    path.write_text(text)
    try:
        options: Options = load_options(path)
    except InvalidSettingsError as problem:
        return str(problem).replace(str(path), "FILE")
    return list(msgspec.structs.astuple(options))


def test_options_files(tmp_path: Path) -> None:
    for case in recorded("options.json"):
        assert read_options(tmp_path / "options.toml", case["text"]) == case["said"]


# -- operators' scripts ------------------------------------------------------------------------


def evaluate_script(script: str) -> Any:
    """Return the values, the level and the resulting policy, or the error text."""
    try:
        values, level = evaluate(script, "policy.star")
        policy = policy_from_values(values)
    except InvalidScriptError as problem:
        return str(problem)
    return {"values": values, "highest_level": level, "policy": json_form(astuple(policy))}


def test_scripts() -> None:
    for case in recorded("scripts.json"):
        assert evaluate_script(case["script"]) == case["said"], case["script"]
