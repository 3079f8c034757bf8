"""The documentation matches the code."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from coriandershelf_core import counter_names
from coriandershelf_rig.internal import experiments, slopes
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, inventory_yaml, rules_yaml
from coriandershelf_rig.internal.reference import reference_page
from coriandershelf_rig.internal.registry import find_modules

ROOT = Path(__file__).parent.parent.parent
PAGES = sorted(ROOT.glob("docs/**/*.md")) + sorted(ROOT.glob("*.md"))


def test_the_reference_names_every_setting_reason_and_counter():
    assert (ROOT / "docs/REFERENCE.md").read_text() == reference_page()


def test_the_examples_are_both_deployments():
    for name, make in DEPLOYMENTS.items():
        folder = ROOT / "examples" / name
        assert (folder / "inventory.yaml").read_text() == inventory_yaml(make(), {})
        assert (folder / "rules.yaml").read_text() == rules_yaml(make())


def test_every_experiment_and_slope_is_on_the_measurements_or_capacity_page():
    text = "".join(page.read_text() for page in PAGES)
    for name in (*find_modules(experiments), *find_modules(slopes)):
        assert re.search(rf"\b{re.escape(name)}\b", text), f"no page names {name}"


def test_every_test_that_a_page_names_exists():
    tests = "".join(path.read_text() for path in ROOT.glob("tests/**/*.py"))
    named = {name for page in PAGES for name in re.findall(r"`(test_\w+)`", page.read_text())}
    files = {path.stem for path in ROOT.glob("tests/**/*.py")}
    missing = sorted(name for name in named if f"def {name}(" not in tests and name not in files)
    assert missing == []


def test_every_counter_that_an_operators_page_names_exists():
    pattern = r"`((?:refusal|retry|claims|tickets|jobs|log|stop|purchases|leases|orders)\.[a-z-]+)`"
    pages = [ROOT / "docs/OPERATING.md", *(ROOT / "docs/operating").glob("*.md")]
    named = {name for page in pages for name in re.findall(pattern, page.read_text())}
    assert named
    assert sorted(named - set(counter_names())) == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_between_pages_lead_somewhere(page):
    for target in re.findall(r"\]\(([^)#:]+?)(?:#[^)]*)?\)", page.read_text()):
        assert (page.parent / target).exists(), f"{page.name} links to {target}"
