"""``--check`` reports a wrong setting or deploy file in one line before anything starts."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from coriandershelf_platform.cli import serve
from coriandershelf_platform.process import EXIT_BAD_SETTING

ROOT = Path(__file__).parents[2]
SETTINGS = {
    "node_name": "edge-a-1",
    "ip": "10.1.0.16",
    "zone": "a",
    "listen": {"front": "10.1.0.16:8360", "ready": "10.1.0.16:8365"},
    "internal_ports": [7500, 7515],
    "provider": {"address": "10.200.0.2:7000"},
}


def run_check(tmp_path: Path, settings: object = SETTINGS, deploy: str | None = None) -> Result:
    file = tmp_path / "node.json"
    file.write_text(json.dumps(settings))
    arguments = ["--border", "platform", "--check", "--settings-file", str(file)]
    if deploy is not None:
        deploy_file = tmp_path / "system.toml"
        deploy_file.write_text(deploy)
        arguments += ["--deploy-file", str(deploy_file)]
    return CliRunner().invoke(serve, arguments)


def test_the_projects_own_deploy_file_fits_the_settings(tmp_path: Path):
    result = run_check(tmp_path, deploy=(ROOT / "deploy/system.toml").read_text())
    assert result.exit_code == 0, result.output
    assert "edge-a-1" in result.output


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"zone": ""}, "zone"),
        ({"listen": {"front": "10.1.0.16:8360"}}, "listen.ready"),
        ({"listen": {"front": "nowhere", "ready": "10.1.0.16:1"}}, "listen.front"),
        ({"internal_ports": [7500]}, "internal_ports"),
        ({"provider": {}}, "provider.address"),
        ({"bounds": {"grace_s": "long"}}, "bounds.grace_s"),
    ],
)
def test_a_wrong_setting_is_named_in_one_line(tmp_path: Path, change: dict, named: str):
    result = run_check(tmp_path, {**SETTINGS, **change})
    assert result.exit_code == EXIT_BAD_SETTING
    assert named in result.output
    assert len(result.output.strip().splitlines()) == 1


ROLE = '[roles.entry]\nrun = "python3 -m x"\non = "edge"\n'


@pytest.mark.parametrize(
    ("deploy", "named"),
    [
        ("build = ", "Invalid value"),
        ('build = "make"\n', "roles"),
        ('build = ""\n' + ROLE + "share = 1.0\n", "build"),
        ('build = "make"\n' + ROLE, "either share or count"),
        ('build = "make"\n' + ROLE + "share = 1.0\ncount = 2\n", "either share or count"),
        ('build = "make"\n' + ROLE + "share = 1.5\n", "roles.entry.share"),
        ('build = "make"\n' + ROLE + 'share = 1.0\nserve = ["edge"]\n', "roles.entry.serve"),
        ('build = "make"\n' + ROLE + 'share = 1.0\nmetrics = "x"\n', "roles.entry.metrics"),
        ('build = "make"\n' + ROLE + 'share = 1.0\nmetrics = "9/m"\n', "port 7501"),
    ],
)
def test_a_wrong_deploy_file_is_named_in_one_line(tmp_path: Path, deploy: str, named: str):
    result = run_check(tmp_path, deploy=deploy)
    assert result.exit_code == EXIT_BAD_SETTING
    assert named in result.output
    assert len(result.output.strip().splitlines()) == 1


def test_a_file_that_is_not_there_is_named(tmp_path: Path):
    missing = str(tmp_path / "none.json")
    result = CliRunner().invoke(serve, ["--check", "--settings-file", missing])
    assert result.exit_code == EXIT_BAD_SETTING
    assert missing in result.output
