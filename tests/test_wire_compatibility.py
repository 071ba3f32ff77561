"""The exact bytes of every message and stored record, as recorded in ``golden/wire.json``.

The file was recorded once and must never be regenerated: other processes, controllers of other
versions and the state service send or store these bytes.  Messages are looked up by case name, so
classes and their Python fields may be renamed.
"""

from __future__ import annotations

import importlib
import json
import pkgutil
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
import pytest
from msgspec import inspect

import micadeal.wire
from micadeal.schema.job_records import join_parts, part_keys
from micadeal.wire.cloud import (
    Catalog,
    ListedMachine,
    MachineList,
    MachineNames,
    MachineType,
    RentalRequest,
)
from micadeal.wire.codec import convert, decode, encode
from micadeal.wire.peers import (
    CancellationNotice,
    Counts,
    LevelLine,
    MachineLine,
    MemberLine,
    Overview,
    Ping,
    Pong,
    Process,
    Relay,
    Relayed,
    RenewalPromise,
    StuckJob,
    TeamLine,
    WhyAnswer,
    WhyLine,
)
from micadeal.wire.signals import Point, SeriesDocument
from micadeal.wire.state import (
    Condition,
    Delete,
    EndRecord,
    EndStatus,
    Event,
    FailedConditions,
    FinishedRecord,
    ImagesRecord,
    Item,
    JobPrerequisites,
    JobRecord,
    LeaderRecord,
    LeaseGrant,
    LeaseRequest,
    LevelRecord,
    LockHolderRecord,
    MachineRecord,
    MemberRecord,
    Page,
    PartRecord,
    PlacedMachine,
    PlacedRecord,
    PlacedTask,
    Put,
    ReturnedMachinesRecord,
    Revision,
    SettingsRecord,
    SplitRecord,
    Transaction,
    UnconfirmedRecord,
    WatchResponse,
)
from micadeal.wire.users import JobAnswer, JobName, Priority, Shape, Status, Submission
from micadeal.wire.workers import (
    Command,
    CommandKind,
    DirectCommands,
    Heartbeat,
    HeartbeatResponse,
    Redirect,
    TaskState,
    TaskStatus,
)

GOLDEN = Path(__file__).parent / "golden"
RECORDED: dict[str, Any] = json.loads((GOLDEN / "wire.json").read_text())

MESSAGES: dict[str, type[msgspec.Struct]] = {
    "cloud_machine_type": MachineType,
    "cloud_catalog": Catalog,
    "cloud_rental_request": RentalRequest,
    "cloud_machine_names": MachineNames,
    "cloud_listed_machine": ListedMachine,
    "cloud_machine_list": MachineList,
    "mesh_process": Process,
    "mesh_ping": Ping,
    "mesh_word": RenewalPromise,
    "mesh_counts": Counts,
    "mesh_pong": Pong,
    "mesh_notice": CancellationNotice,
    "mesh_relay": Relay,
    "mesh_relayed": Relayed,
    "mesh_why_line": WhyLine,
    "mesh_why_answer": WhyAnswer,
    "mesh_team_line": TeamLine,
    "mesh_stuck_job": StuckJob,
    "mesh_machine_line": MachineLine,
    "mesh_member_line": MemberLine,
    "mesh_level_line": LevelLine,
    "mesh_overview": Overview,
    "signals_point": Point,
    "signals_series": SeriesDocument,
    "state_item": Item,
    "state_page": Page,
    "state_condition": Condition,
    "state_put": Put,
    "state_drop": Delete,
    "state_transaction": Transaction,
    "state_revision": Revision,
    "state_failed": FailedConditions,
    "state_lease_request": LeaseRequest,
    "state_lease_answer": LeaseGrant,
    "state_event": Event,
    "state_changes": WatchResponse,
    "state_leader": LeaderRecord,
    "state_held": LockHolderRecord,
    "state_level": LevelRecord,
    "state_member": MemberRecord,
    "state_job": JobRecord,
    "state_job_needs": JobPrerequisites,
    "state_split": SplitRecord,
    "state_part": PartRecord,
    "state_end": EndRecord,
    "state_unconfirmed": UnconfirmedRecord,
    "state_end_status": EndStatus,
    "state_finished": FinishedRecord,
    "state_placed_task": PlacedTask,
    "state_placed_machine": PlacedMachine,
    "state_placed": PlacedRecord,
    "state_machine": MachineRecord,
    "state_images": ImagesRecord,
    "state_leaving": ReturnedMachinesRecord,
    "state_settings": SettingsRecord,
    "users_submission": Submission,
    "users_job_name": JobName,
    "users_job_answer": JobAnswer,
    "workers_task_report": TaskStatus,
    "workers_report": Heartbeat,
    "workers_order": Command,
    "workers_orders": HeartbeatResponse,
    "workers_direct_orders": DirectCommands,
    "workers_redirect": Redirect,
}
#: Fields added after the cases were recorded; their cases are in ``wire_additions.json``.
FIELDS_ADDED_LATER = {
    "mesh_pong": ["Pong.cancellation_ages"],
    "state_end": ["EndRecord.confirmed"],
}
#: Messages that are JSON on the wire; all others are MessagePack.
JSON_MESSAGES = {"signals_point", "signals_series"}
#: Messages that this program only sends: the values whose encodings were recorded.
WRITTEN_ONLY: dict[str, tuple[msgspec.Struct, msgspec.Struct]] = {
    "state_transaction": (
        Transaction(
            [Condition("job/req-000412", 17), Condition("seat/held", 0)],
            [Put("job/req-000412", {"a": [1, None]}, 9), Put("settings", 2.5), Delete("part/x/1")],
        ),
        Transaction([Condition("job/req-000412", 17)]),
    ),
}
READ = sorted(MESSAGES.keys() - WRITTEN_ONLY.keys())

ENUM_VALUES: dict[type[Enum], list[str]] = {
    Shape: ["array", "gang", "daemon"],
    Priority: ["production", "high", "standard", "low"],
    Status: ["pending", "running", "done", "cancelled"],
    TaskState: ["pulling", "waiting", "running", "flushing", "exited"],
    CommandKind: ["run", "halt", "reap"],
}


def read(name: str, data: bytes) -> msgspec.Struct:
    if name in JSON_MESSAGES:
        return msgspec.json.decode(data, type=MESSAGES[name])
    return decode(MESSAGES[name], data)


def read_untyped(name: str, data: bytes) -> Any:
    return msgspec.json.decode(data) if name in JSON_MESSAGES else msgspec.msgpack.decode(data)


def write(name: str, value: Any) -> bytes:
    return msgspec.json.encode(value) if name in JSON_MESSAGES else encode(value)


def recorded(name: str, kind: str) -> bytes:
    return bytes.fromhex(RECORDED[name][kind]["hex"])


def entries(name: str) -> Iterator[dict[str, Any]]:
    yield RECORDED[name]["full"]
    yield RECORDED[name]["unset"]
    yield from RECORDED[name].get("accepted", ())


def fields_at_default(value: Any) -> list[str]:
    """Return the names of fields, including those of nested messages, that have their default."""
    if isinstance(value, list):
        return [name for item in value for name in fields_at_default(item)]
    if isinstance(value, dict):
        return [name for item in value.values() for name in fields_at_default(item)]
    if not isinstance(value, msgspec.Struct):
        return []
    names: list[str] = []
    for field in msgspec.structs.fields(value):
        field_value = getattr(value, field.name)
        defaults = [field.default]
        if field.default_factory is not msgspec.NODEFAULT:
            defaults.append(field.default_factory())
        if field_value in defaults:
            names.append(f"{type(value).__name__}.{field.name}")
        names += fields_at_default(field_value)
    return names


def defined_in_wire(base: type) -> set[type]:
    classes: set[type] = set()
    for module_info in pkgutil.walk_packages(micadeal.wire.__path__, "micadeal.wire."):
        module = importlib.import_module(module_info.name)
        classes |= {
            value
            for value in vars(module).values()
            if isinstance(value, type)
            and issubclass(value, base)
            and value.__module__.startswith("micadeal.wire")
        }
    return classes


def nested_in(message_class: type) -> set[type]:
    """Return the message class and the classes of all messages nested in its fields."""
    classes: set[type] = set()
    pending: list[Any] = [inspect.type_info(message_class)]
    while pending:
        type_info = pending.pop()
        if isinstance(type_info, inspect.StructType):
            if type_info.cls not in classes:
                classes.add(type_info.cls)
                pending += [field.type for field in type_info.fields]
        elif isinstance(type_info, inspect.ListType):
            pending.append(type_info.item_type)
        elif isinstance(type_info, inspect.DictType):
            pending.append(type_info.value_type)
        elif isinstance(type_info, inspect.UnionType):
            pending += type_info.types
    return classes


def test_every_message_has_recorded_cases() -> None:
    assert set(RECORDED) == set(MESSAGES)
    assert len(set(MESSAGES.values())) == len(MESSAGES)
    covered = set().union(*(nested_in(MESSAGES[name]) for name in READ))
    missing = defined_in_wire(msgspec.Struct) - covered - set(MESSAGES.values())
    assert not missing
    # A message without cases of its own is private to a message that has them.
    without_cases = defined_in_wire(msgspec.Struct) - set(MESSAGES.values())
    assert all(kind.__name__.startswith("_") for kind in without_cases), without_cases


@pytest.mark.parametrize("name", sorted(RECORDED))
def test_the_decoded_form_matches_the_bytes(name: str) -> None:
    for entry in entries(name):
        assert read_untyped(name, bytes.fromhex(entry["hex"])) == entry["decoded"]


@pytest.mark.parametrize("kind", ["full", "unset"])
@pytest.mark.parametrize("name", READ)
def test_a_message_is_read_and_written_to_the_same_bytes(name: str, kind: str) -> None:
    data = recorded(name, kind)
    value = read(name, data)
    assert type(value) is MESSAGES[name]
    assert write(name, value) == data
    assert read(name, data) == value
    if name not in JSON_MESSAGES:
        # Records arrive untyped inside answers of the state service.
        assert convert(MESSAGES[name], read_untyped(name, data)) == value


@pytest.mark.parametrize("name", sorted(WRITTEN_ONLY))
def test_a_message_that_is_only_sent_is_written_to_the_same_bytes(name: str) -> None:
    full, unset = WRITTEN_ONLY[name]
    assert write(name, full) == recorded(name, "full")
    assert write(name, unset) == recorded(name, "unset")


@pytest.mark.parametrize("name", READ)
def test_the_full_case_sets_every_field_to_another_value_than_its_default(name: str) -> None:
    at_default = fields_at_default(read(name, recorded(name, "full")))
    assert at_default == FIELDS_ADDED_LATER.get(name, [])


@pytest.mark.parametrize("name", sorted(FIELDS_ADDED_LATER))
def test_fields_added_later_are_read_and_written_to_the_same_bytes(name: str) -> None:
    """Check the full case extended by the added fields; cases without them keep their bytes."""
    added = json.loads((GOLDEN / "wire_additions.json").read_text())[name]
    data = bytes.fromhex(added["hex"])
    value = read(name, data)
    assert fields_at_default(value) == []
    assert write(name, value) == data
    full = read_untyped(name, recorded(name, "full"))
    assert read_untyped(name, data) == added["decoded"] == {**full, **added["fields"]}
    names = [f"{MESSAGES[name].__name__}.{field}" for field in added["fields"]]
    assert names == FIELDS_ADDED_LATER[name]


@pytest.mark.parametrize("name", READ)
def test_optional_fields_omitted_or_null_are_read_as_unset(name: str) -> None:
    value = read(name, recorded(name, "unset"))
    for entry in RECORDED[name]["accepted"]:
        assert read(name, bytes.fromhex(entry["hex"])) == value, entry["decoded"]


@pytest.mark.parametrize("name", READ)
def test_fields_of_later_versions_are_ignored(name: str) -> None:
    data = recorded(name, "full")
    content = read_untyped(name, data)
    if isinstance(content, dict):
        extended: Any = {"field_of_a_later_version": {"a": [1]}, **content}
    else:
        extended = [*content, "field of a later version"]
    assert read(name, write(name, extended)) == read(name, data)


def test_values_of_enumerations() -> None:
    assert defined_in_wire(Enum) == set(ENUM_VALUES)
    for kind, values in ENUM_VALUES.items():
        assert [member.value for member in kind] == values


def test_a_description_stored_in_parts_is_read_as_the_whole() -> None:
    """The parts hold the same description as the full case of a job record."""
    changes = json.loads((GOLDEN / "split_description.json").read_text())
    first, *rest = (read_untyped("state_put", bytes.fromhex(change["hex"])) for change in changes)
    assert first["put"] == "job/req-000412"
    assert part_keys(first["data"], "req-000412") == [part["put"] for part in rest]
    assert [part["put"] for part in rest] == [
        f"part/req-000412/{number + 1}" for number in range(len(rest))
    ]
    record = join_parts(first["data"], [part["data"] for part in rest])
    assert encode(record) == recorded("state_job", "full")
