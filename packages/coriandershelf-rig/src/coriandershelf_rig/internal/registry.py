"""Finds the modules of a package that each hold one named measurement."""

from __future__ import annotations

import importlib
import pkgutil
from types import ModuleType


def find_modules(package: ModuleType) -> dict[str, ModuleType]:
    """Return the package's modules by their ``NAME``."""
    found = {}
    for item in pkgutil.iter_modules(package.__path__):
        module = importlib.import_module(f"{package.__name__}.{item.name}")
        name = getattr(module, "NAME", None)
        if name is not None:
            found[name] = module
    return found
