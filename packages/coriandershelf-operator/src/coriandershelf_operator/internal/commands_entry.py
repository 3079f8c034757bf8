"""Commands for entry VMs: ``status``, ``explain`` and ``drain``."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import asdict
from typing import Any, TextIO

import click

from coriandershelf_operator.internal.http import NoAnswer, fetch_json
from coriandershelf_operator.internal.output import (
    EXIT_NO,
    EXIT_NOT_KNOWN,
    entry_option,
    json_option,
    key_option,
    optional_entry_option,
    optional_key_option,
    progress,
    show,
)
from coriandershelf_operator.internal.request_walk import describe, parse_lines, walks_of

Answers = dict[str, dict[str, Any] | None]


async def _ask_all(
    entries: tuple[str, ...], path: str, key: str, body: bytes | None = None
) -> Answers:
    """Return each entry VM's answer, ``None`` where it does not answer or know.

    :param body: sent with ``POST``; ``None`` sends ``GET``.
    """
    urls = [f"http://{address}/admin/{path}" for address in entries]
    answers = await asyncio.gather(*(fetch_json(url, body, key) for url in urls))
    return {
        address: None if isinstance(answer, NoAnswer) else answer
        for address, answer in zip(entries, answers, strict=True)
    }


def _describe(address: str, row: dict[str, Any] | None, newest: int) -> str:
    if row is None:
        return f"{address:24} does not answer"
    lag = "" if row["version"] == newest else f"  lags behind {newest}"
    if row["accepted_version"] > row["version"]:
        lag += f"  does not understand {row['accepted_version']}; upgrade it"
    ready = "ready" if row["ready"] else "not ready"
    return (
        f"{address:24} {row['vm_id']:12} {row['zone']:8} version {row['version']:<5}"
        f"{ready:10} in flight {row['in_flight']:<5}{lag}"
    )


@click.command()
@entry_option
@key_option
@json_option
def status(entries: tuple[str, ...], operator_key: str, as_json: bool) -> None:
    """Show the version in force at each entry VM and who lags."""
    rows = asyncio.run(_ask_all(entries, "status", operator_key))
    answered = [row for row in rows.values() if row is not None]
    newest = max((row["accepted_version"] for row in answered), default=0)
    lagging = [address for address, row in rows.items() if row and row["version"] != newest]
    lines = [_describe(address, row, newest) for address, row in rows.items()]
    show({"newest": newest, "lagging": lagging, "entries": rows}, as_json, "\n".join(lines))
    if len(answered) < len(rows):
        sys.exit(EXIT_NOT_KNOWN)
    sys.exit(EXIT_NO if lagging else 0)


@click.command()
@click.argument("request")
@click.option(
    "--log-file",
    "log_files",
    multiple=True,
    type=click.File("r", errors="replace"),
    help="Log lines of entry VMs, - for standard input; in place of asking the VMs.",
)
@optional_entry_option
@optional_key_option
@json_option
def explain(
    request: str,
    log_files: tuple[TextIO, ...],
    entries: tuple[str, ...],
    operator_key: str | None,
    as_json: bool,
) -> None:
    """Show a request's way through the entry VM that served it, and how it ended.

    The entry VMs are asked, or their log lines are read: on the users' platform they are the only
    source.
    """
    if log_files:
        _explain_from_logs(request, log_files, as_json)
    elif entries and operator_key:
        _explain_from_entries(request, entries, operator_key, as_json)
    else:
        raise click.UsageError("give --log-file, or --entry and --operator-key")


def _explain_from_logs(request: str, log_files: tuple[TextIO, ...], as_json: bool) -> None:
    lines, others_count = parse_lines(text for file in log_files for text in file)
    walks = walks_of(request, lines)
    if others_count:
        progress(f"{others_count} lines were passed over: they hold no JSON object with an event")
    if not walks:
        text = f"none of {len(lines)} log lines names the request {request}"
        show({"walks": [], "detail": text}, as_json, text)
        sys.exit(EXIT_NO)
    document = {"walks": [asdict(walk) for walk in walks]}
    show(document, as_json, "\n\n".join(describe(walk) for walk in walks))


def _explain_from_entries(
    request: str, entries: tuple[str, ...], operator_key: str, as_json: bool
) -> None:
    answers = asyncio.run(_ask_all(entries, f"explain/{request}", operator_key))
    for address, answer in answers.items():
        if answer is not None:
            lines = [
                f"{step['after_ms']:>10.1f} ms  {step['step']:12} {step['detail']}"
                for step in answer["steps"]
            ]
            show({"entry": address, **answer}, as_json, "\n".join([address, *lines]))
            return
    text = f"no entry VM asked keeps a trace of {request}"
    show({"entry": None, "detail": text}, as_json, text)
    sys.exit(EXIT_NO)


@click.command()
@entry_option
@key_option
@json_option
def drain(entries: tuple[str, ...], operator_key: str, as_json: bool) -> None:
    """Stop entry VMs gracefully: nothing in flight is cut, accepted work is handed over.

    Name only VMs that others can stand in for. The command returns once the stop has begun;
    ``status`` shows "not ready" until a process has ended.
    """
    answers = asyncio.run(_ask_all(entries, "drain", operator_key, b""))
    silent = [address for address, answer in answers.items() if answer is None]
    lines = [
        f"{address:24} {'does not answer' if address in silent else 'draining'}"
        for address in answers
    ]
    draining = [address for address in answers if address not in silent]
    show({"draining": draining, "no_answer": silent}, as_json, "\n".join(lines))
    sys.exit(EXIT_NOT_KNOWN if silent else 0)
