"""Command line of ``coriandershelf``, for operators.

Exit codes: 0 success; 1 negative result (not valid, conflict, differs, lags, not found); 2 usage
error; 3 result not known yet, because the platform's log or an entry VM does not answer.
"""

from __future__ import annotations

import click

from coriandershelf_operator.internal.commands_entry import drain, explain, status
from coriandershelf_operator.internal.commands_publish import publish_command, rollback, verdict
from coriandershelf_operator.internal.commands_read import check, diff, history


@click.group()
def main() -> None:
    """Check, publish and watch the configuration of coriandershelf."""


for command in (check, diff, publish_command, verdict, rollback, history, status, explain, drain):
    main.add_command(command)
