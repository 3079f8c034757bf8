"""The operator's tool against a stand-in platform: verdicts, details and exit codes."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request
from pathlib import Path

import pytest
from click.testing import CliRunner

from coriandershelf_operator.internal.cli import main
from coriandershelf_operator.internal.http import RequestFailure
from coriandershelf_operator.internal.platform_log import ConfigurationStream
from coriandershelf_rig.internal.deployments import inventory_yaml, kingston, rules_yaml
from coriandershelf_rig.internal.processes import Processes, free_ports

START_TIMEOUT_S = 20.0


class Platform:
    def __init__(self, folder: Path) -> None:
        (port,) = free_ports(1)
        self.address = f"127.0.0.1:{port}"
        self.processes = Processes(folder)
        arguments = ("standin-platform", "--port", str(port), "--seed", "1")
        self.processes.start("platform", "coriandershelf_rig", *arguments)
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                urllib.request.urlopen(f"http://{self.address}/vms")
                return
            except urllib.error.URLError:
                assert time.monotonic() < deadline_s, "the stand-in does not start"
                time.sleep(0.05)

    def set_faults(self, **faults) -> None:
        data = json.dumps(faults).encode()
        urllib.request.urlopen(f"http://{self.address}/faults", data=data)


@pytest.fixture
def platform(tmp_path):
    started = Platform(tmp_path)
    yield started
    started.processes.stop_all()


@pytest.fixture
def files(tmp_path):
    def write(budget: float) -> list[str]:
        deployment = kingston()
        rules = rules_yaml(deployment).replace("20.0", str(budget))
        for name, text in (("i.yaml", inventory_yaml(deployment, {})), ("r.yaml", rules)):
            (tmp_path / name).write_text(text)
        return [str(tmp_path / "i.yaml"), str(tmp_path / "r.yaml")]

    return write


def call(platform: Platform, *arguments: str):
    """Return the exit code and the JSON document of a command."""
    line = [*arguments, "--json", "--log-address", platform.address]
    result = CliRunner().invoke(main, line)
    return result.exit_code, json.loads(result.stdout.strip().splitlines()[-1])


def test_a_conflict_names_who_changed_what_first(platform, files):
    assert call(platform, "publish", *files(20.0), "--operator", "ana")[0] == 0
    assert call(platform, "publish", *files(25.0), "--operator", "luis")[0] == 0
    code, document = call(platform, "publish", *files(30.0), "--operator", "marcia", "--base", "1")
    assert (code, document["verdict"], document["version"]) == (1, "conflict", 2)
    (first,) = document["preceding"]
    assert (first["operator"], first["version"]) == ("luis", 2)
    assert first["changed_paths"] == ["rules.budget_per_hour"]


def test_a_publish_whose_every_answer_is_lost_is_told_accepted(platform, files):
    platform.set_faults(lost_answer_share=1.0)
    code, document = call(platform, "publish", *files(20.0))
    assert (code, document["verdict"], document["version"]) == (0, "accepted", 1)
    code, again = call(platform, "verdict", document["publish_id"])
    assert (code, again["verdict"], again["version"]) == (0, "accepted", 1)


def test_in_an_outage_nothing_is_claimed_and_the_command_to_ask_is_named(platform, files):
    platform.set_faults(log_down=True)
    code, document = call(platform, "publish", *files(20.0))
    assert (code, document["verdict"]) == (3, "not-published")
    code, document = call(platform, "verdict", "p1")
    assert (code, document["verdict"]) == (3, "not-known")


def test_a_publish_sent_again_under_its_id_is_accepted_once(platform, files):
    arguments = ["publish", *files(20.0), "--publish-id", "p1"]
    assert call(platform, *arguments)[1]["version"] == 1
    code, document = call(platform, *arguments)
    assert (code, document["verdict"], document["version"]) == (0, "accepted", 1)


def test_a_rollback_is_a_new_version_with_the_old_texts(platform, files):
    first = files(20.0)
    call(platform, "publish", *first)
    call(platform, "publish", *files(25.0))
    code, document = call(platform, "rollback", "1", "--operator", "ana")
    assert (code, document["version"]) == (0, 3)
    assert call(platform, "diff", *files(20.0))[1]["changes"] == []
    code, document = call(platform, "history")
    assert [change["version"] for change in document["changes"]] == [1, 2, 3]
    assert call(platform, "rollback", "9")[0] == 1


def test_a_diff_shows_each_path_with_both_values(platform, files):
    call(platform, "publish", *files(20.0))
    code, document = call(platform, "diff", *files(25.0))
    assert code == 1
    assert document["changes"] == [
        {"path": "rules.budget_per_hour", "before": "20.0", "after": "25.0"}
    ]


def test_an_outage_after_the_append_is_told_as_not_known_with_the_command_that_asks(
    platform, files, monkeypatch
):
    append = ConfigurationStream.append

    async def append_then_lose(stream, proposal):
        await append(stream, proposal)
        platform.set_faults(log_down=True)
        return RequestFailure("the answer was lost")

    monkeypatch.setattr(ConfigurationStream, "append", append_then_lose)
    code, document = call(platform, "publish", *files(20.0), "--wait-s", "0.5")
    assert (code, document["verdict"], document["may_stand"]) == (3, "not-known", True)
    command = document["ask"].split()
    assert command[:2] == ["coriandershelf", "verdict"]
    platform.set_faults(log_down=False)
    assert call(platform, *command[1:3])[1]["verdict"] == "accepted"


def test_a_publish_whose_first_append_is_lost_is_sent_again(platform, files, monkeypatch):
    append = ConfigurationStream.append
    calls = []

    async def lose_first_append(stream, proposal):
        calls.append(proposal.publish_id)
        return RequestFailure("lost") if len(calls) == 1 else await append(stream, proposal)

    monkeypatch.setattr(ConfigurationStream, "append", lose_first_append)
    code, document = call(platform, "publish", *files(20.0))
    assert (code, document["verdict"]) == (0, "accepted")
    assert len(calls) == 2
