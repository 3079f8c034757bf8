"""Errors in inventory and rules files are reported with file, line, path, value and remedy."""

from __future__ import annotations

from coriandershelf_core.internal.vocabulary.inventory import Inventory
from coriandershelf_rig.internal.deployments import (
    DEPLOYMENTS,
    consorcio,
    inventory_yaml,
    rules_yaml,
)
from coriandershelf_wire import Invalid, parse_configuration


def test_both_deployments_are_valid():
    for make in DEPLOYMENTS.values():
        parsed = parse_configuration(inventory_yaml(make(), {}), rules_yaml(make()), 3)
        assert isinstance(parsed, Inventory)
        assert parsed.version == 3


def test_a_replica_in_an_unknown_zone_is_named_with_its_line():
    text = inventory_yaml(consorcio(), {}).replace("zone: vc-b", "zone: vc-x", 1)
    line = text.splitlines().index("  zone: vc-x") + 1
    parsed = parse_configuration(text, rules_yaml(consorcio()), 1, "a.yaml", "b.yaml")
    assert isinstance(parsed, Invalid)
    (problem,) = parsed.problems
    assert (problem.file, problem.line) == ("a.yaml", line)
    assert problem.path == "replicas.1.zone"
    assert "vc-x" in problem.value
    assert "name a zone" in problem.remedy


def test_a_misspelt_field_is_named():
    parsed = parse_configuration(
        inventory_yaml(consorcio(), {}), "format: 1\nbudget: 3\n", 1, "a.yaml", "b.yaml"
    )
    assert isinstance(parsed, Invalid)
    assert [(item.file, item.line, item.path) for item in parsed.problems] == [
        ("b.yaml", 2, "budget")
    ]


def test_text_that_is_not_yaml_is_named_with_its_line():
    parsed = parse_configuration("format: [1\n", "format: 1\n", 1)
    assert isinstance(parsed, Invalid)
    assert "not valid YAML" in str(parsed.problems[0])
