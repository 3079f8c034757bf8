"""Command line of ``coriandershelf``, for operators.

Exit codes: 0 done; 1 the answer is no (not valid, conflict, not found); 2 wrong use; 3 not known
yet, because the platform's log or an entry VM does not answer.
"""

from __future__ import annotations

import getpass
import json
import sys
import time
import urllib.error
import urllib.request
import uuid
from pathlib import Path
from typing import Any

import click

from coriandershelf_core.internal.records import ConfigurationProposed
from coriandershelf_operator.internal.platform_log import LogDown, publish, read_configuration
from coriandershelf_wire import Invalid, parse_configuration

EXIT_NO = 1
EXIT_NOT_KNOWN = 3
REQUEST_LIMIT_S = 3.0

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
log_option = click.option(
    "--log-address",
    envvar="CORIANDERSHELF_LOG_ADDRESS",
    show_envvar=True,
    required=True,
    help="Address of the platform's log service, host:port.",
)
entry_option = click.option(
    "--entry",
    "entries",
    multiple=True,
    envvar="CORIANDERSHELF_ENTRIES",
    show_envvar=True,
    required=True,
    help="Address of an entry VM, host:port; give it once for each.",
)
key_option = click.option(
    "--operator-key",
    envvar="CORIANDERSHELF_OPERATOR_KEY",
    show_envvar=True,
    required=True,
    help="The operator's bearer key.",
)
inventory_argument = click.argument("inventory", type=click.Path(exists=True, dir_okay=False))
rules_argument = click.argument("rules", type=click.Path(exists=True, dir_okay=False))


@click.group()
def main() -> None:
    """Check, publish and watch the configuration of coriandershelf."""


def _print(document: dict[str, Any], as_json: bool, text: str) -> None:
    click.echo(json.dumps(document) if as_json else text)


def _check_files(inventory: str, rules: str, as_json: bool) -> tuple[str, str]:
    """Return both texts; end with every mistake where they are not valid."""
    inventory_text = Path(inventory).read_text()
    rules_text = Path(rules).read_text()
    parsed = parse_configuration(inventory_text, rules_text, 0, inventory, rules)
    if isinstance(parsed, Invalid):
        problems = [str(problem) for problem in parsed.problems]
        _print({"valid": False, "problems": problems}, as_json, "\n".join(problems))
        sys.exit(EXIT_NO)
    return inventory_text, rules_text


@main.command()
@inventory_argument
@rules_argument
@json_option
def check(inventory: str, rules: str, as_json: bool) -> None:
    """Validate an inventory and its rules without publishing them."""
    _check_files(inventory, rules, as_json)
    _print({"valid": True, "problems": []}, as_json, "valid")


@main.command("publish")
@inventory_argument
@rules_argument
@log_option
@click.option("--base", type=int, help="Version the change is based on; default: in force.")
@click.option("--operator", default=None, help="Who publishes; default: the login name.")
@click.option("--wait-s", type=float, default=20.0, show_default=True)
@json_option
def publish_command(
    inventory: str,
    rules: str,
    log_address: str,
    base: int | None,
    operator: str | None,
    wait_s: float,
    as_json: bool,
) -> None:
    """Publish a configuration; tells accepted or conflict, also after a lost answer."""
    inventory_text, rules_text = _check_files(inventory, rules, as_json)
    if base is None:
        configuration = read_configuration(log_address)
        if isinstance(configuration, LogDown):
            _print({"verdict": "not-known"}, as_json, f"log: {configuration.detail}")
            sys.exit(EXIT_NOT_KNOWN)
        base = configuration.version
    proposal = ConfigurationProposed(
        publish_id=uuid.uuid4().hex,
        base_version=base,
        operator=operator or getpass.getuser(),
        at_s=time.time(),
        inventory_text=inventory_text,
        rules_text=rules_text,
    )
    click.echo(f"waiting for the verdict on {proposal.publish_id}", err=True)
    verdict = publish(log_address, proposal, wait_s)
    if isinstance(verdict, LogDown):
        document = {"verdict": "not-known", "publish_id": proposal.publish_id}
        _print(document, as_json, f"not known yet: {verdict.detail}")
        sys.exit(EXIT_NOT_KNOWN)
    word = "accepted" if verdict.accepted else "conflict"
    document = {"verdict": word, "version": str(verdict.version), "detail": verdict.detail}
    _print(document, as_json, f"{word}: version {verdict.version} {verdict.detail}".rstrip())
    sys.exit(0 if verdict.accepted else EXIT_NO)


def _ask_entry(address: str, path: str, key: str) -> dict[str, Any] | None:
    """Return an entry VM's answer, or ``None`` where it does not answer or know."""
    request = urllib.request.Request(
        f"http://{address}/admin/{path}", headers={"Authorization": f"Bearer {key}"}
    )
    try:
        with urllib.request.urlopen(request, timeout=REQUEST_LIMIT_S) as answer:
            document: dict[str, Any] = json.loads(answer.read())
            return document
    except (urllib.error.URLError, OSError, ValueError):
        return None


@main.command()
@entry_option
@key_option
@json_option
def status(entries: tuple[str, ...], operator_key: str, as_json: bool) -> None:
    """Show the version in force at each entry VM and who lags."""
    rows = {address: _ask_entry(address, "status", operator_key) for address in entries}
    answered = [row for row in rows.values() if row is not None]
    newest = max((row["version"] for row in answered), default=0)
    lines = []
    for address, row in rows.items():
        if row is None:
            lines.append(f"{address:24} does not answer")
            continue
        lag = "" if row["version"] == newest else f"  lags behind {newest}"
        ready = "ready" if row["ready"] else "not ready"
        lines.append(
            f"{address:24} {row['vm_id']:12} {row['zone']:8} version {row['version']:<5}"
            f"{ready:10} in flight {row['in_flight']:<5}{lag}"
        )
    _print({"newest": newest, "entries": rows}, as_json, "\n".join(lines))
    sys.exit(0 if len(answered) == len(rows) else EXIT_NOT_KNOWN)


@main.command()
@click.argument("request")
@entry_option
@key_option
@json_option
def explain(request: str, entries: tuple[str, ...], operator_key: str, as_json: bool) -> None:
    """Show a request's way through the entry VM that served it."""
    for address in entries:
        answer = _ask_entry(address, f"explain/{request}", operator_key)
        if answer is not None:
            lines = [
                f"{step['after_ms']:>10.1f} ms  {step['step']:12} {step['detail']}"
                for step in answer["steps"]
            ]
            _print({"entry": address, **answer}, as_json, "\n".join([address, *lines]))
            return
    click.echo(f"no entry VM asked keeps a trace of {request}", err=True)
    sys.exit(EXIT_NO)
