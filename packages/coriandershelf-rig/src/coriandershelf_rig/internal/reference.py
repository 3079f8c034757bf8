"""The reference page of settings, reasons and counters, generated from the code."""

from __future__ import annotations

from coriandershelf_core import RefusalReason, RetryReason, counter_names
from coriandershelf_core.internal.vocabulary.reasons import Counter
from coriandershelf_entry.internal.settings import list_settings

HEAD = """# Reference

Made by `python -m coriandershelf_rig reference docs/REFERENCE.md`; a test fails when it is not
up to date. Do not edit it by hand.
"""


def _settings() -> list[str]:
    rows = ["## Settings of `coriandershelfd`", ""]
    rows.append("| name | flag | variable | default | meaning |")
    rows.append("|---|---|---|---|---|")
    for setting in list_settings():
        default = "required" if setting.default is None else f"`{setting.default}`"
        names = f"`{setting.name}` | `{setting.flag}` | `{setting.variable}`"
        rows.append(f"| {names} | {default} | {setting.doc} |")
    return rows


def _refusals() -> list[str]:
    rows = ["## Refusal reasons", "", "| code | HTTP status | what the caller is told | counter |"]
    rows.append("|---|---|---|---|")
    for reason in RefusalReason:
        counter = f"`refusal.{reason.code}`"
        rows.append(f"| `{reason.code}` | {reason.status} | {reason.remedy} | {counter} |")
    return rows


def _retries() -> list[str]:
    rows = ["## Retry reasons", "", "| code | meaning | counter |", "|---|---|---|"]
    for reason in RetryReason:
        rows.append(f"| `{reason.code}` | {reason.meaning} | `retry.{reason.code}` |")
    return rows


def _counters() -> list[str]:
    rows = ["## Other counters", "", "| counter | meaning |", "|---|---|"]
    rows += [f"| `{counter.code}` | {counter.meaning} |" for counter in Counter]
    return rows


def reference_page() -> str:
    """Return the page as Markdown."""
    assert len(counter_names()) == len(RefusalReason) + len(RetryReason) + len(Counter)
    sections = (_settings(), _refusals(), _retries(), _counters())
    return HEAD + "\n" + "\n\n".join("\n".join(section) for section in sections) + "\n"
