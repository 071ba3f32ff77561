"""Answers as people read them."""

from __future__ import annotations

from typing import Any


def show_why(answer: dict[str, Any]) -> str:
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


def _table(head: list[str], rows: list[list[str]]) -> list[str]:
    widths = [max(len(row[i]) for row in [head, *rows]) for i in range(len(head))]
    return [
        "  ".join(
            cell.ljust(width) if i == 0 else cell.rjust(width)
            for i, (cell, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in [head, *rows]
    ]


def _level(level: dict[str, Any]) -> list[str]:
    since = f" for {level['since_s']:.0f} s" if level["since_s"] else ""
    by = f", set by {level['by']}" if level["by"] else ""
    lines = [f"level {level['level']} is in force{since}{by}"]
    if level["writes"] < level["level"]:
        lines[0] += f"; it is being lowered to {level['writes']}"
    if level["oldest"] < level["writes"]:
        lines[0] += f"; records of level {level['oldest']} may still be stored"
    lines += [f"  waits: {wait}" for wait in level["waits"]]
    lines += _table(
        ["controller", "levels", "build", "seen"],
        [
            [m["name"], f"{m['lowest']}-{m['highest']}", m["build"], m["presence"]]
            for m in level["members"]
        ],
    )
    return lines


def show_overview(answer: dict[str, Any]) -> str:
    touch = "in touch with" if answer["state_contact"] else "WITHOUT TOUCH WITH"
    jobs = answer["jobs"]
    lines = [
        f"leader {answer['leader']} for {answer['leading_s']:.0f} s (token {answer['token']}), "
        f"{touch} the state service",
        f"jobs: {jobs.get('running', 0)} running, {jobs.get('starting', 0)} starting, "
        f"{jobs.get('waiting', 0)} waiting, {jobs.get('blocked', 0)} waiting for other jobs",
        "",
    ]
    lines += _table(
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
    lines.append("")
    lines += _table(
        ["machines", "up", "booting", "silent", "leaving", "accelerators"],
        [
            [
                f"{m['machine_type']} {'spot' if m['spot'] else 'ordinary'} {m['zone']}",
                str(m["up"]),
                str(m["booting"]),
                str(m["silent"]),
                str(m["leaving"]),
                f"{m['gpus_used']:g}/{m['gpus']:g}",
            ]
            for m in answer["machines"]
        ],
    )
    if answer.get("level") is not None:
        lines += ["", *_level(answer["level"])]
    if answer["stuck"]:
        lines += ["", "stuck jobs:"]
        lines += [
            f"  {job['job_id']} ({job['job_class']}, {job['team']}): {job['waiting_s']:.0f} s: "
            f"{job['reason']}"
            for job in answer["stuck"]
        ]
        more = answer.get("stuck_in_all", 0) - len(answer["stuck"])
        if more > 0:
            lines.append(f"  and {more} more, stuck for less long")
    if answer["notes"]:
        lines += ["", "notes:"] + [f"  {note}" for note in answer["notes"]]
    return "\n".join(lines)
