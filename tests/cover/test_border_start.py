"""Signals that arrive while the process is still starting."""

from __future__ import annotations

import signal
import subprocess
import sys
import time

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
