"""Commands that read files and the log: ``check``, ``diff`` and ``history``."""

from __future__ import annotations

import asyncio
import sys

import click

from coriandershelf_operator.internal.changes import find_changes
from coriandershelf_operator.internal.output import (
    EXIT_NEGATIVE,
    exit_unknown,
    inventory_argument,
    json_option,
    log_option,
    print_result,
    read_valid_files,
    rules_argument,
)
from coriandershelf_operator.internal.platform_log import ConfigurationStream
from coriandershelf_operator.internal.publishing import change_document, describe_change


@click.command()
@inventory_argument
@rules_argument
@json_option
def check(inventory: str, rules: str, as_json: bool) -> None:
    """Validate an inventory and its rules without publishing them."""
    read_valid_files(inventory, rules, as_json)
    print_result({"valid": True, "problems": []}, as_json, "valid")


@click.command()
@inventory_argument
@rules_argument
@log_option
@click.option("--version", type=int, help="Version to compare with; default: in force.")
@json_option
def diff(inventory: str, rules: str, log_address: str, version: int | None, as_json: bool) -> None:
    """Show what the files would change in the configuration in force; exit code 1 on changes."""
    texts = read_valid_files(inventory, rules, as_json)
    stream = asyncio.run(_read_log(log_address, as_json))
    compared_version = stream.version if version is None else version
    before = stream.texts_of(compared_version)
    if before is None:
        text = f"the log no longer holds the texts of version {compared_version}"
        exit_unknown({"version": compared_version, "detail": text}, as_json, text)
    changes = find_changes(before, texts)
    rows = [{"path": item.path, "before": item.before, "after": item.after} for item in changes]
    lines = [f"against version {compared_version}: {len(changes)} changes", *map(str, changes)]
    print_result({"version": compared_version, "changes": rows}, as_json, "\n".join(lines))
    sys.exit(EXIT_NEGATIVE if changes else 0)


@click.command()
@log_option
@json_option
def history(log_address: str, as_json: bool) -> None:
    """Show the accepted versions, who published them and what they changed."""
    stream = asyncio.run(_read_log(log_address, as_json))
    changes = stream.history()
    document = {"changes": [change_document(change) for change in changes]}
    lines = [describe_change(change) for change in changes] or ["no version yet"]
    print_result(document, as_json, "\n".join(lines))


async def _read_log(log_address: str, as_json: bool) -> ConfigurationStream:
    stream = ConfigurationStream(log_address)
    failure = await stream.refresh()
    if failure is not None:
        text = f"the log does not answer ({failure.detail})"
        exit_unknown({"detail": failure.detail}, as_json, text)
    return stream
