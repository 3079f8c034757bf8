"""Finds a package's modules that each define one named measurement."""

from __future__ import annotations

import importlib
import pkgutil
from types import ModuleType


def find_modules(package: ModuleType) -> dict[str, ModuleType]:
    """Return the package's modules that have a ``NAME``, by that name."""
    modules_by_name = {}
    for item in pkgutil.iter_modules(package.__path__):
        module = importlib.import_module(f"{package.__name__}.{item.name}")
        name = getattr(module, "NAME", None)
        if name is not None:
            modules_by_name[name] = module
    return modules_by_name
