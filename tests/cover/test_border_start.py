"""The start of the process: signals that arrive during it, and what it imports."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from platform_site import Site

from coriandershelf_entry.internal.border import has_other_arguments
from coriandershelf_platform import application
from coriandershelf_rig.internal.standin_store import StoreState
from coriandershelf_rig.internal.start_cost import compare_starts

PROGRAM = """
import sys
from coriandershelf_entry.internal import border

def choose(arguments, environment):
    print("chosen", flush=True)
    sys.stdin.read()
    return "none"

border.selected_border = choose
sys.argv = ["coriandershelfd"]
border.main()
"""


def test_a_reload_asked_for_before_the_application_listens_does_not_end_the_process():
    child = subprocess.Popen(
        [sys.executable, "-c", PROGRAM], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert child.stdout is not None and child.stdin is not None
    try:
        assert child.stdout.readline() == b"chosen\n"
        child.send_signal(signal.SIGHUP)
        time.sleep(0.1)
        child.stdin.close()
        assert child.wait() != -signal.SIGHUP
    finally:
        child.kill()
        child.stdout.close()


# Prints what a serving process has imported when it listens, and the state of its collector.
SERVING_PROGRAM = """
import gc, json, sys
before = set(sys.modules)
from coriandershelf_entry.internal import border
from coriandershelf_platform.application import PlatformApplication

async def wait(self):
    state = [sorted(set(sys.modules) - before), gc.isenabled(), gc.get_freeze_count()]
    print(json.dumps(state), file=sys.stderr)
    return 0

PlatformApplication.wait = wait
sys.argv = ["coriandershelfd", "--border", "platform"]
border.main()
"""
# Modules that take processor time of a start but serve no request: command line, own border,
# metrics page, console, file formats and helpers of the standard library.
NOT_IMPORTED_TO_SERVE = {
    "click",
    "coriandershelf_platform.cli",
    "coriandershelf_platform.deploy_file",
    "coriandershelf_entry.internal.application",
    "coriandershelf_wire",
    "prometheus_client",
    "pydantic",
    "statsd",
    "cryptography",
    "grpc",
    "google.protobuf",
    "yaml",
    "hdrh",
    "numpy",
    "rich",
    "colorama",
    "tornado.web",
    "tornado.httpclient",
    "tornado.simple_httpclient",
    "tomllib",
    "xml",
    "pathlib",
    "tempfile",
    "shutil",
}


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def write_settings(folder: Path) -> Path:
    front, ready, store = free_ports(3)
    file = folder / "node.json"
    settings = {
        "node_name": "edge-a-1",
        # An address of its own for each run of the tests, so that the internal ports are free.
        "ip": f"127.74.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}",
        "zone": "a",
        "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
        "internal_ports": [7500, 7515],
        "provider": {"address": f"127.0.0.1:{store}"},
        "cloud": {"address": f"127.0.0.1:{store}", "duties": ["autoscale", "report"]},
    }
    file.write_text(json.dumps(settings))
    return file


def test_a_serving_process_imports_no_module_that_it_does_not_need(tmp_path: Path):
    # Guards against a start that takes longer because of an import at the top of some module.
    environment = {**os.environ, "CORIANDERSHELF_NODE_FILE": str(write_settings(tmp_path))}
    done = subprocess.run(
        [sys.executable, "-c", SERVING_PROGRAM], env=environment, capture_output=True, check=True
    )
    imported, collects, frozen_count = json.loads(done.stderr)
    assert "coriandershelf_platform.application" in imported
    assert not NOT_IMPORTED_TO_SERVE.intersection(imported)
    assert collects, "garbage collection was not enabled again"
    assert frozen_count > 0


def test_a_wrong_setting_ends_a_serving_process_with_one_line(tmp_path: Path):
    # Guards the message and exit code of a start without options, which does not use click.
    file = tmp_path / "node.json"
    file.write_text("{}")
    done = subprocess.run(
        [sys.executable, "-m", "coriandershelf_entry", "--border", "platform"],
        env={**os.environ, "CORIANDERSHELF_NODE_FILE": str(file)},
        capture_output=True,
    )
    assert done.returncode == 2
    assert done.stdout == b""
    [line] = done.stderr.decode().splitlines()
    assert line.startswith(f"coriandershelfd: {file}: ") and "node_name" in line


@pytest.mark.parametrize(
    ("arguments", "parsed"),
    [
        ([], False),
        (["--border", "platform"], False),
        (["--border=platform"], False),
        (["--border", "platform", "--check"], True),
        (["--border=platform", "--settings-file", "x"], True),
        (["--help"], True),
        (["--border"], True),
        (["--border=platform", "--border=platform"], True),
    ],
)
def test_other_arguments_are_left_to_the_command_line(arguments, parsed):
    # Guards against an option or a mistake that a serving process would ignore.
    assert has_other_arguments(arguments) is parsed


def test_the_rig_measures_a_start():
    # Guards the tool behind the figures in docs/measurements/platform.md.
    lines = compare_starts([os.pathsep.join(filter(None, sys.path))], 2)
    assert len(lines) == 1 and "2 starts, median" in lines[0]


# Guards against a process that ends by itself while the store is away from its start on: its
# status line rounded the age of a configuration that was never read, which is infinite.
def test_a_vm_without_a_configuration_logs_its_status_and_lives_on(monkeypatch):
    monkeypatch.setattr(application, "STATUS_PERIOD_S", 0.05)

    async def run() -> None:
        async with Site(store=StoreState(refuse=True)) as site:
            await asyncio.sleep(0.3)
            assert not site.application._ended.is_set()
            lines = [line for line in site.logs() if line["event"] == "status"]
            assert lines and lines[0]["configuration_age_ms"] is None

    asyncio.run(run())
