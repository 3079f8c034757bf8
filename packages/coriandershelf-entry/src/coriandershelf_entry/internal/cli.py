"""Command line of ``coriandershelfd``."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import click

from coriandershelf_core import CoreSettings
from coriandershelf_entry.internal.application import EntryApplication
from coriandershelf_entry.internal.border import (
    BORDER_FLAG,
    BORDER_VARIABLE,
    OWN_BORDER,
    PLATFORM_BORDER,
)
from coriandershelf_entry.internal.logs import configure_logs
from coriandershelf_entry.internal.settings import (
    EntrySettings,
    check_settings,
    list_settings,
)

EXIT_BAD_SETTING = 2


async def _run(settings: EntrySettings, core_settings: CoreSettings) -> int:
    log = configure_logs(settings.log_level, vm_id=settings.vm_id, zone=settings.zone)
    application = EntryApplication(settings, core_settings, log)
    await application.start()
    try:
        return await application.wait()
    finally:
        await application.stop()


def _serve(border: str, **values: Any) -> None:
    """Serve callers on this entry VM until a stop signal."""
    if border != OWN_BORDER:
        click.echo(f"coriandershelfd: {BORDER_FLAG}: {border!r} is no border", err=True)
        sys.exit(EXIT_BAD_SETTING)
    given = {name: value for name, value in values.items() if value is not None}
    checked = check_settings(given)
    if isinstance(checked, str):
        click.echo(f"coriandershelfd: {checked}", err=True)
        sys.exit(EXIT_BAD_SETTING)
    sys.exit(asyncio.run(_run(*checked)))


def _make_command() -> click.Command:
    options: list[click.Parameter] = [
        click.Option(
            [setting.flag],
            type=setting.annotation,
            default=setting.default,
            envvar=setting.variable,
            show_envvar=True,
            show_default=setting.default not in (None, ""),
            help=setting.doc,
        )
        for setting in list_settings()
    ]
    options.append(
        click.Option(
            [BORDER_FLAG],
            default=OWN_BORDER,
            envvar=BORDER_VARIABLE,
            show_envvar=True,
            show_default=True,
            help=f"Interfaces to callers and platform: {OWN_BORDER} or {PLATFORM_BORDER}; the "
            "settings of the latter are in the platform's settings file.",
        )
    )
    return click.Command("coriandershelfd", callback=_serve, params=options, help=_serve.__doc__)


main = _make_command()
