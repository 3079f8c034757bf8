"""Compares the layout of messages and records with that of a landed commit."""

from __future__ import annotations

import json
from typing import Any


def layout_faults(old: Any, new: Any, where: str = "") -> list[str]:
    """Return what keeps VMs of the two builds from reading each other.

    Only a field of a map may be added, with a default. An array's items have no names, and the
    earlier build rejects a longer one or an unknown value of an enumeration with the whole message.
    """
    if not (isinstance(old, dict) and isinstance(new, dict) and old.keys() == new.keys()):
        return [] if old == new else [f"{where}: was {_short(old)}, is {_short(new)}"]
    if "map" not in old:
        nested = [key for key in old if key not in ("enum", "array", "any", "default")]
        faults = [fault for key in nested for fault in layout_faults(old[key], new[key], where)]
        fixed = [key for key in old if key not in nested and old[key] != new[key]]
        return faults + [f"{where}: was {_short(old[key])}, is {_short(new[key])}" for key in fixed]
    return _field_faults(old["map"], new["map"], where)


def _field_faults(old: dict[str, Any], new: dict[str, Any], where: str) -> list[str]:
    faults = []
    for name, field in old.items():
        path = f"{where}.{name}"
        if name not in new:
            faults.append(f"{path}: removed or renamed")
            continue
        if "default" in field and "default" not in new[name]:
            faults.append(f"{path}: its default was removed")
        elif field.get("default", None) != new[name].get("default", field.get("default", None)):
            faults.append(f"{path}: another default, which is what earlier builds mean")
        faults += layout_faults(field["type"], new[name]["type"], path)
    for name, field in new.items():
        if name not in old and "default" not in field:
            faults.append(f"{where}.{name}: added without a default")
    return faults


def _short(layout: Any) -> str:
    return json.dumps(layout)[:120]
