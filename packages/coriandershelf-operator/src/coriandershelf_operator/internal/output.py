"""Exit codes, common options, and output as text or JSON."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click

from coriandershelf_wire import Invalid, parse_configuration

FC = TypeVar("FC", bound=Callable[..., Any] | click.Command)

EXIT_NEGATIVE = 1
EXIT_UNKNOWN = 3

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
log_option = click.option(
    "--log-address",
    envvar="CORIANDERSHELF_LOG_ADDRESS",
    show_envvar=True,
    required=True,
    help="Address of the platform's log service, host:port.",
)


def _entry_option(required: bool) -> Callable[[FC], FC]:
    return click.option(
        "--entry",
        "entries",
        multiple=True,
        envvar="CORIANDERSHELF_ENTRIES",
        show_envvar=True,
        required=required,
        help="Address of an entry VM, host:port; repeat the option for each VM.",
    )


def _key_option(required: bool) -> Callable[[FC], FC]:
    return click.option(
        "--operator-key",
        envvar="CORIANDERSHELF_OPERATOR_KEY",
        show_envvar=True,
        required=required,
        help="The operator's bearer key.",
    )


entry_option = _entry_option(required=True)
optional_entry_option = _entry_option(required=False)
key_option = _key_option(required=True)
optional_key_option = _key_option(required=False)
operator_option = click.option(
    "--operator", default=None, help="Who publishes; default: the login name."
)
wait_option = click.option(
    "--wait-s",
    type=click.FloatRange(min=0.0),
    default=20.0,
    show_default=True,
    help="Longest wait for the verdict.",
)
inventory_argument = click.argument("inventory", type=click.Path(exists=True, dir_okay=False))
rules_argument = click.argument("rules", type=click.Path(exists=True, dir_okay=False))


def print_result(document: dict[str, Any], as_json: bool, text: str) -> None:
    """Print a result as one JSON line or as text."""
    click.echo(json.dumps(document) if as_json else text)


def print_progress(text: str) -> None:
    """Print progress on standard error."""
    click.echo(text, err=True)


def exit_unknown(document: dict[str, Any], as_json: bool, text: str) -> NoReturn:
    """Print what is known and exit because the result could not be determined."""
    print_result(document, as_json, text)
    sys.exit(EXIT_UNKNOWN)


def read_valid_files(inventory: str, rules: str, as_json: bool) -> tuple[str, str]:
    """Return both texts; if they are not valid, print every error and exit."""
    inventory_text = Path(inventory).read_text()
    rules_text = Path(rules).read_text()
    parsed = parse_configuration(inventory_text, rules_text, 0, inventory, rules)
    if isinstance(parsed, Invalid):
        problems = [str(problem) for problem in parsed.problems]
        print_result({"valid": False, "problems": problems}, as_json, "\n".join(problems))
        sys.exit(EXIT_NEGATIVE)
    return inventory_text, rules_text
