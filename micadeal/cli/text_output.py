"""Formats controllers' answers as text.

Answers are decoded without types, so that answers of other versions can be shown as well.
"""

from __future__ import annotations

from typing import Any


def show_status(answer: dict[str, Any]) -> str:
    """Return the state of a job in one line."""
    line = f"{answer['name_id']}: {answer['status']}"
    if answer.get("done") is not None:
        line += f", {answer['done']} tasks done, {answer.get('running') or 0} running"
    return line


def show_why(answer: dict[str, Any]) -> str:
    """Return the state of a job and the reasons why its tasks wait, one per line."""
    lines = [
        f"{answer['job_id']} (team {answer.get('team') or '-'}): {answer['status']}, "
        f"submitted {answer.get('waiting_s', 0):.0f} s ago",
        f"  tasks: {answer.get('done', 0)} done, {answer.get('running', 0)} running, "
        f"{answer.get('starting', 0)} starting, {answer.get('waiting', 0)} waiting",
    ]
    for reason in answer.get("reasons", ()):
        count = f"{reason['tasks']} tasks: " if reason["tasks"] else ""
        lines.append(f"  - {count}{reason['reason']}")
    return "\n".join(lines)


def show_overview(answer: dict[str, Any]) -> str:
    """Return the state of the cluster, from the leader to the notes for operators."""
    lines = [*_leader(answer), "", *_teams(answer), "", *_machines(answer)]
    if answer.get("level") is not None:
        lines += ["", *_feature_level(answer["level"])]
    if answer["stuck"]:
        lines += ["", *_stuck_jobs(answer)]
    if answer["notes"]:
        lines += ["", "notes:", *(f"  {note}" for note in answer["notes"])]
    return "\n".join(lines)


def _leader(answer: dict[str, Any]) -> list[str]:
    contact = "in touch with" if answer["state_contact"] else "WITHOUT TOUCH WITH"
    jobs = answer["jobs"]
    return [
        f"leader {answer['leader']} for {answer['leading_s']:.0f} s (token {answer['token']}), "
        f"{contact} the state service",
        f"jobs: {jobs.get('running', 0)} running, {jobs.get('starting', 0)} starting, "
        f"{jobs.get('waiting', 0)} waiting, {jobs.get('blocked', 0)} waiting for other jobs",
    ]


def _teams(answer: dict[str, Any]) -> list[str]:
    return _table(
        ["team", "used", "guarantee", "limit", "share", "demand", "waiting", "running"],
        [
            [
                f"{team['name']} ({team['resource']})",
                f"{team['used']:g}",
                f"{team['guarantee']:g}",
                f"{team['limit']:g}" if team["limit"] else "-",
                f"{team['share']:.1f}",
                f"{team['demand']:g}",
                str(team["waiting_jobs"]),
                str(team["running_jobs"]),
            ]
            for team in answer["teams"]
        ],
    )


def _machines(answer: dict[str, Any]) -> list[str]:
    return _table(
        ["machines", "up", "booting", "silent", "leaving", "accelerators"],
        [
            [
                f"{line['machine_type']} {'spot' if line['spot'] else 'ordinary'} {line['zone']}",
                str(line["up"]),
                str(line["booting"]),
                str(line["silent"]),
                str(line["leaving"]),
                f"{line['gpus_used']:g}/{line['gpus']:g}",
            ]
            for line in answer["machines"]
        ],
    )


def _feature_level(level: dict[str, Any]) -> list[str]:
    since = f" for {level['since_s']:.0f} s" if level["since_s"] else ""
    set_by = f", set by {level['by']}" if level["by"] else ""
    summary = f"level {level['level']} is in force{since}{set_by}"
    if level["writes"] < level["level"]:
        summary += f"; it is being lowered to {level['writes']}"
    if level["oldest"] < level["writes"]:
        summary += f"; records of level {level['oldest']} may still be stored"
    controllers = _table(
        ["controller", "levels", "build", "seen"],
        [
            [
                member["name"],
                f"{member['lowest']}-{member['highest']}",
                member["build"],
                member["presence"],
            ]
            for member in level["members"]
        ],
    )
    return [summary, *(f"  waits: {wait}" for wait in level["waits"]), *controllers]


def _stuck_jobs(answer: dict[str, Any]) -> list[str]:
    lines = ["stuck jobs:"]
    lines += [
        f"  {job['job_id']} ({job['job_class']}, {job['team']}): {job['waiting_s']:.0f} s: "
        f"{job['reason']}"
        for job in answer["stuck"]
    ]
    more = answer.get("stuck_in_all", 0) - len(answer["stuck"])
    if more > 0:
        lines.append(f"  and {more} more, stuck for less long")
    return lines


def _table(head: list[str], rows: list[list[str]]) -> list[str]:
    """Return lines with aligned columns: the first column to the left, the others to the right."""
    widths = [max(len(row[column]) for row in [head, *rows]) for column in range(len(head))]
    return [
        "  ".join(
            cell.rjust(width) if column else cell.ljust(width)
            for column, (cell, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in [head, *rows]
    ]
