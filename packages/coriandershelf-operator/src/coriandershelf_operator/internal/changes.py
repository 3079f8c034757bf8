"""Compares two configurations and reports the differences as paths into their documents."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import yaml

NAME_FIELDS = ("id", "name")
PATHS_MAX_COUNT = 50
VALUE_MAX_CHARACTERS = 60

_loader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclass(frozen=True, slots=True)
class Change:
    """One value that differs; ``None`` on the side where it is missing."""

    path: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.path}: {self.after}"
        if self.after is None:
            return f"- {self.path}: {self.before}"
        return f"~ {self.path}: {self.before} -> {self.after}"


def _key_of(item: Any, index: int) -> str:
    if isinstance(item, dict):
        for field in NAME_FIELDS:
            if field in item:
                return str(item[field])
    return str(index)


def _flatten(value: Any, path: str) -> Iterator[tuple[str, str]]:
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _flatten(item, f"{path}.{key}")
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _flatten(item, f"{path}[{_key_of(item, index)}]")
    else:
        yield path, str(value)[:VALUE_MAX_CHARACTERS]


def _flatten_document(text: str, name: str) -> dict[str, str]:
    return dict(_flatten(yaml.load(text, Loader=_loader), name)) if text else {}


def find_changes(
    before: tuple[str, str], after: tuple[str, str], names: tuple[str, str] = ("inventory", "rules")
) -> list[Change]:
    """Return every difference between two pairs of inventory and rules texts.

    List items are matched by their ``id`` or ``name``, so moving an item is not a difference.
    """
    changes = []
    for old_text, new_text, name in zip(before, after, names, strict=True):
        old = _flatten_document(old_text, name)
        new = _flatten_document(new_text, name)
        for path in sorted(old.keys() | new.keys()):
            if old.get(path) != new.get(path):
                changes.append(Change(path, old.get(path), new.get(path)))
    return changes


def changed_paths(changes: list[Change]) -> tuple[str, ...]:
    """Return the paths for a proposal's record; beyond the limit, a count of the others."""
    paths = tuple(change.path for change in changes[:PATHS_MAX_COUNT])
    omitted_count = len(changes) - len(paths)
    return (*paths, f"and {omitted_count} more") if omitted_count else paths
