"""Entry VMs of this build and of the landed ones before it read each other."""

from __future__ import annotations

import copy
import io
import json
import os
import subprocess
import sys
import tarfile
from pathlib import Path
from typing import Any

import msgspec
import pytest
import wire_samples
from wire_layouts import layout_faults

from coriandershelf_platform import peer_link
from coriandershelf_platform.peer_checks import fault_of, split_address

ROOT = Path(__file__).parents[2]
RECORDED = {
    path.stem: json.loads(path.read_text())
    for path in sorted((ROOT / "tests/data/wire").glob("*.json"))
}
SAMPLES = [(commit, name) for commit, data in RECORDED.items() for name in data["samples"]]
SOURCES = [f"packages/coriandershelf-{name}/src" for name in ("core", "wire", "rig")]
SOURCES += ["platform/src", "tests/support"]


def test_there_are_samples_of_the_last_two_landed_commits():
    assert {"a9cc2eb", "acb432c", "9268219"} <= set(RECORDED)


def is_within(old: Any, new: Any) -> bool:
    """Return whether a value holds all that an older one holds."""
    if isinstance(old, dict) and isinstance(new, dict):
        return all(key in new and is_within(item, new[key]) for key, item in old.items())
    if isinstance(old, list | tuple) and isinstance(new, list | tuple):
        return len(old) == len(new) and all(map(is_within, old, new))
    return old == new


# Guards against a change after which messages and records of landed builds are read otherwise.
@pytest.mark.parametrize("commit, name", SAMPLES)
def test_recorded_bytes_of_landed_commits_are_read(commit, name):
    sample = RECORDED[commit]["samples"][name]
    data = bytes.fromhex(sample["hex"])
    if name == wire_samples.REGISTRATION:
        assert split_address(data.decode()) == tuple(sample["value"])
        return
    value = wire_samples.decode(name, data)
    assert is_within(sample["value"], value)
    tag = name.split()[1]
    layout = wire_samples.schemas()[wire_samples.LEASE if name == wire_samples.LEASE else tag]
    for added in value.keys() - sample["value"].keys():
        assert value[added] == layout["map"][added]["default"], added
    if name != wire_samples.LEASE:
        assert fault_of(peer_link._decoder(data[:1]).decode(data[1:])) is None


# Guards against a sender that leaves out, renames or reorders what a landed build needs.
@pytest.mark.parametrize("commit, name", SAMPLES)
def test_this_build_writes_all_that_landed_builds_read(commit, name):
    old = bytes.fromhex(RECORDED[commit]["samples"][name]["hex"])
    new = bytes.fromhex(wire_samples.encode_all()[name]["hex"])
    if name == wire_samples.REGISTRATION:
        assert new == old
    elif name == wire_samples.LEASE:
        assert is_within(json.loads(old), json.loads(new))
    else:
        assert old[:1] == new[:1]
        decode = msgspec.msgpack.Decoder(strict=False).decode
        assert is_within(decode(old[1:]), decode(new[1:]))


@pytest.mark.parametrize("commit", RECORDED)
def test_layouts_differ_from_landed_ones_only_by_fields_with_defaults(commit):
    present = wire_samples.schemas()
    recorded = RECORDED[commit]["schemas"]
    assert recorded.keys() <= present.keys(), "a message type was removed"
    faults = [x for tag in recorded for x in layout_faults(recorded[tag], present[tag], tag)]
    assert not faults, "\n".join(faults)


def test_each_field_has_a_sample_that_is_not_its_default():
    for tag, message_type in wire_samples.message_types().items():
        value = wire_samples.encode_all()[f"message {tag} full"]["value"]
        for name, field in wire_samples.layout_of(message_type)["map"].items():
            assert name in wire_samples.FULL[tag], f"{tag}.{name}: add a value to wire_samples"
            assert value[name] != field.get("default"), f"{tag}.{name}: its value is the default"


def change_map(layout, *path):
    """Return a copy of the digest's layout and the part of it that the path names."""
    layout = copy.deepcopy(layout)
    part = layout
    for key in path:
        part = part[key]
    return layout, part


def test_the_comparison_sees_each_change_that_keeps_builds_from_reading_each_other():
    digest = wire_samples.schemas()["D"]
    update = wire_samples.schemas()["N"]
    assert not layout_faults(digest, digest)
    new, fields = change_map(digest, "map")
    fields["to_come"] = {"type": "int", "default": 0}
    assert not layout_faults(digest, new)
    fields["to_come"] = {"type": "int"}
    assert layout_faults(digest, new) == [".to_come: added without a default"]
    new, fields = change_map(digest, "map")
    fields["spent_tokens"] = fields.pop("spent")
    assert layout_faults(digest, new) == [".spent: removed or renamed"]
    new, fields = change_map(digest, "map")
    del fields["stopping"]["default"]
    assert layout_faults(digest, new) == [".stopping: its default was removed"]
    new, fields = change_map(digest, "map")
    fields["stopping"]["default"] = True
    assert "another default" in layout_faults(digest, new)[0]
    new, fields = change_map(digest, "map")
    fields["sequence"]["type"] = "str"
    assert layout_faults(digest, new) == ['.sequence: was "int", is "str"']
    new, limit = change_map(digest, "map", "limits", "type", "values", "map")
    limit["to_come"] = {"type": "int"}
    assert layout_faults(digest, new) == [".limits.to_come: added without a default"]
    new, part = change_map(digest, "map", "parts", "type", "values", "array")
    part.append({"name": "to_come", "type": "int", "default": 0})
    assert len(layout_faults(digest, new)) == 1
    new, part = change_map(digest, "map", "parts", "type", "values", "array")
    part.reverse()
    assert len(layout_faults(digest, new)) == 1
    new, step = change_map(update, "map", "step", "type", "enum")
    step.append("to_come")
    assert len(layout_faults(update, new)) == 1


# Guards against a VM that cannot pass a landed build's request to a replica on, or ask it to.
def test_the_heads_of_tunnels_are_those_of_the_last_landing():
    assert wire_samples.tunnel_heads() == RECORDED["a9cc2eb"]["tunnel"]


@pytest.fixture(scope="session", params=sorted(RECORDED))
def landed(request, tmp_path_factory) -> tuple[str, dict[str, str]]:
    """Return a landed commit and the environment that runs its sources."""
    commit = request.param
    archive = subprocess.run(
        ["git", "archive", commit, "packages", "platform", "tests/support"],
        cwd=ROOT,
        capture_output=True,
    )
    if archive.returncode:
        print(f"{commit}: not in this clone's history, so its sources are not run")
        pytest.skip(f"{commit} is not in this clone's history")
    folder = tmp_path_factory.mktemp(commit)
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter="data")
    return commit, environment_of(folder)


def environment_of(folder: Path) -> dict[str, str]:
    """Return the environment that runs the sources of a commit."""
    paths = [str(folder / source) for source in SOURCES]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}


def run_samples(environment: dict[str, str], command: str, data: object = None) -> Any:
    result = subprocess.run(
        [sys.executable, str(ROOT / "tests/support/wire_samples.py"), command],
        input=json.dumps(data), capture_output=True, text=True, env=environment, check=True,
    )  # fmt: skip
    return json.loads(result.stdout)


def test_landed_builds_read_what_this_build_writes(landed):
    commit, environment = landed
    recorded = RECORDED[commit]["samples"]
    written = run_samples(environment, "encode")
    assert {name: item["hex"] for name, item in written.items()} == {
        name: item["hex"] for name, item in recorded.items()
    }, "the recorded bytes are not those of the commit"
    values = run_samples(environment, "decode", wire_samples.encode_all())
    for name, sample in recorded.items():
        assert is_within(sample["value"], values[name]), f"{commit}: {name}: {values[name]}"


class Fleet:
    """Gateways of this build and of a landed one in virtual time, each in a process of its own."""

    def __init__(self, landed_environment: dict[str, str]) -> None:
        self.now_s = 100.0
        self.processes = {}
        self.inbox: dict[str, list[str]] = {}
        self.known: dict[str, dict[str, Any]] = {}
        for number in range(4):
            vm_id = f"vm-{number}"
            self.processes[vm_id] = subprocess.Popen(
                [sys.executable, "-P", str(ROOT / "tests/support/gateway_process.py"), vm_id],
                stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
                env=landed_environment if number % 2 else environment_of(ROOT),
            )  # fmt: skip
            self.inbox[vm_id] = []

    def run(self, steps_count: int, do: dict[str, list[Any]] | None = None) -> None:
        for step in range(steps_count):
            self.now_s += 0.05
            inbox, self.inbox = self.inbox, {vm_id: [] for vm_id in self.inbox}
            for vm_id, process in self.processes.items():
                command = {"now_s": self.now_s, "datagrams": inbox[vm_id]}
                if do and step == 0 and vm_id in do:
                    command["do"] = do[vm_id]
                process.stdin.write(json.dumps(command) + "\n")
                process.stdin.flush()
                answer = json.loads(process.stdout.readline())
                self.known[vm_id] = answer["known"]
                for address, data in answer["sent"]:
                    self.inbox.setdefault(address.removesuffix(":7500"), []).append(data)

    def close(self) -> None:
        for process in self.processes.values():
            process.stdin.close()
            process.wait(10.0)
            process.stdout.close()


# Guards against VMs of two builds that do not take each other for live, or do not learn from each
# other who holds the duties, which replicas leave, what they accept and what runs there.
@pytest.mark.parametrize("teller, other", [("vm-0", "vm-1"), ("vm-1", "vm-0")])
def test_gateways_of_two_builds_know_the_same(landed, teller, other):
    fleet = Fleet(landed[1])
    try:
        ids = sorted(fleet.processes)
        fleet.run(20, {vm_id: [["register", ids]] for vm_id in ids})
        assert all(known["vms"] == ids for known in fleet.known.values()), fleet.known
        do = {
            teller: [["hold", 7], ["request_with_limit", 2.5]],
            other: [["read_leaving", "engine-2"]],
        }
        fleet.run(20, do)
        expected = {
            "vms": ids, "holder": [teller, 7], "leaving": ["engine-2"], "limits": [2.5],
            "running": 1,
        }  # fmt: skip
        assert all(known == expected for known in fleet.known.values()), fleet.known
        fleet.run(20, {"vm-2": [["stop"]], "vm-3": [["stop"]]})
        assert fleet.known["vm-0"]["vms"] == fleet.known["vm-1"]["vms"] == ["vm-0", "vm-1"]
    finally:
        fleet.close()
