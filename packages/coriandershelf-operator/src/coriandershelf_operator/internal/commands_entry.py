"""Commands for entry VMs: ``status``, ``explain`` and ``drain``."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import asdict
from typing import Any, TextIO

import click

from coriandershelf_operator.internal.http import RequestFailure, fetch_json
from coriandershelf_operator.internal.output import (
    EXIT_NEGATIVE,
    EXIT_UNKNOWN,
    entry_option,
    json_option,
    key_option,
    optional_entry_option,
    optional_key_option,
    print_progress,
    print_result,
)
from coriandershelf_operator.internal.request_timeline import describe, parse_lines, timelines_of

Responses = dict[str, dict[str, Any] | None]


async def _query_all(
    entries: tuple[str, ...], path: str, key: str, body: bytes | None = None
) -> Responses:
    """Return the response of each entry VM; ``None`` if the request to it failed.

    :param body: body to ``POST``; ``None`` sends a ``GET``.
    """
    urls = [f"http://{address}/admin/{path}" for address in entries]
    responses = await asyncio.gather(*(fetch_json(url, body, key) for url in urls))
    return {
        address: None if isinstance(response, RequestFailure) else response
        for address, response in zip(entries, responses, strict=True)
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
    """Show the version in force at each entry VM and which VMs lag behind."""
    rows = asyncio.run(_query_all(entries, "status", operator_key))
    reachable = [row for row in rows.values() if row is not None]
    newest = max((row["accepted_version"] for row in reachable), default=0)
    lagging = [address for address, row in rows.items() if row and row["version"] != newest]
    lines = [_describe(address, row, newest) for address, row in rows.items()]
    print_result({"newest": newest, "lagging": lagging, "entries": rows}, as_json, "\n".join(lines))
    if len(reachable) < len(rows):
        sys.exit(EXIT_UNKNOWN)
    sys.exit(EXIT_NEGATIVE if lagging else 0)


@click.command()
@click.argument("request")
@click.option(
    "--log-file",
    "log_files",
    multiple=True,
    type=click.File("r", errors="replace"),
    help="Log lines of entry VMs, - for standard input; replaces the query to the VMs.",
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
    """Show how the entry VM processed a request and how the request ended.

    The source is the entry VMs or their log lines; on the users' platform only the log lines are
    available.
    """
    if log_files:
        _explain_from_logs(request, log_files, as_json)
    elif entries and operator_key:
        _explain_from_entries(request, entries, operator_key, as_json)
    else:
        raise click.UsageError("give --log-file, or --entry and --operator-key")


def _explain_from_logs(request: str, log_files: tuple[TextIO, ...], as_json: bool) -> None:
    lines, skipped_count = parse_lines(text for file in log_files for text in file)
    timelines = timelines_of(request, lines)
    if skipped_count:
        print_progress(
            f"{skipped_count} lines were passed over: they contain no JSON object with an event"
        )
    if not timelines:
        text = f"none of {len(lines)} log lines belongs to request {request}"
        print_result({"walks": [], "detail": text}, as_json, text)
        sys.exit(EXIT_NEGATIVE)
    document = {"walks": [asdict(timeline) for timeline in timelines]}
    print_result(document, as_json, "\n\n".join(describe(timeline) for timeline in timelines))


def _explain_from_entries(
    request: str, entries: tuple[str, ...], operator_key: str, as_json: bool
) -> None:
    responses = asyncio.run(_query_all(entries, f"explain/{request}", operator_key))
    for address, response in responses.items():
        if response is not None:
            lines = [
                f"{step['after_ms']:>10.1f} ms  {step['step']:12} {step['detail']}"
                for step in response["steps"]
            ]
            print_result({"entry": address, **response}, as_json, "\n".join([address, *lines]))
            return
    text = f"no queried entry VM has a trace of {request}"
    print_result({"entry": None, "detail": text}, as_json, text)
    sys.exit(EXIT_NEGATIVE)


@click.command()
@entry_option
@key_option
@json_option
def drain(entries: tuple[str, ...], operator_key: str, as_json: bool) -> None:
    """Stop entry VMs gracefully: requests in flight finish, accepted jobs are handed over.

    Name only VMs whose load the others can take over. The command returns once the stop has begun;
    ``status`` shows "not ready" until the process has ended.
    """
    responses = asyncio.run(_query_all(entries, "drain", operator_key, b""))
    unreachable = [address for address, response in responses.items() if response is None]
    lines = [
        f"{address:24} {'does not answer' if address in unreachable else 'draining'}"
        for address in responses
    ]
    draining = [address for address in responses if address not in unreachable]
    print_result({"draining": draining, "no_answer": unreachable}, as_json, "\n".join(lines))
    sys.exit(EXIT_UNKNOWN if unreachable else 0)
