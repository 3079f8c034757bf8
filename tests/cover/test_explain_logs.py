"""``explain`` finds out how a request ended from log lines alone."""

from __future__ import annotations

import json
from pathlib import Path

from click.testing import CliRunner

from coriandershelf_core.internal.gateway.actions import Refusal, RetryReason
from coriandershelf_operator.internal.causes import REFUSAL_REASONS, RETRY_REASONS
from coriandershelf_operator.internal.cli import main
from coriandershelf_operator.internal.request_timeline import (
    CONTEXT_WINDOW_S,
    parse_lines,
    timelines_of,
)


def line(event: str, at_s: float, vm: str = "vm-1", **fields: object) -> str:
    return json.dumps({"vm": vm, "event": event, "at_s": at_s, "level": "info", **fields})


def explain(tmp_path: Path, request: str, *lines: str) -> tuple[int, str]:
    file = tmp_path / "lines.log"
    file.write_text("\n".join(lines) + "\n")
    result = CliRunner().invoke(main, ["explain", request, "--log-file", str(file)])
    return result.exit_code, result.output


def test_every_reason_of_the_gateway_is_explained():
    assert set(REFUSAL_REASONS) == {refusal.value for refusal in Refusal}
    assert set(RETRY_REASONS) == {reason.value for reason in RetryReason}


def test_a_refusal_is_explained_with_what_the_vm_knew(tmp_path: Path):
    code, text = explain(
        tmp_path,
        "r-1",
        line("replica unreachable", 99.5, replica="i-1"),
        line("replica unreachable", 99.6, replica="i-2"),
        line("sent again", 100.0, request_id="r-1", replica="i-1", reason="connect", age_ms=5),
        line("refused", 100.1, request_id="r-1", replica="i-1", reason="no-room", age_ms=105),
        line("refused", 100.1, request_id="r-2", reason="cap"),
    )
    assert code == 0
    assert "no-room" in text and "could not be reached" in text
    assert "replica=i-1" in text and "i-2" not in text and "r-2" not in text


def test_the_way_over_several_vms_is_told_vm_by_vm(tmp_path: Path):
    code, text = explain(
        tmp_path,
        "r-1",
        line("answered", 7.0, vm="vm-2", request_id="r-1", status=200),
        line("refused", 900.0, vm="vm-1", request_id="r-1", reason="stopping"),
    )
    assert code == 0
    assert text.index("vm-1") < text.index("vm-2")


def test_lines_of_another_vm_or_long_before_are_no_context():
    lines, _ = parse_lines(
        [
            line("store lost", 10.0),
            line("store lost", 99.0, vm="vm-2"),
            line("store lost", 99.0, topic="a"),
            line("refused", 10.0 + CONTEXT_WINDOW_S + 90.0, request_id="r-1", reason="no-replica"),
            line("refused", 100.0, request_id="r-2", reason="no-replica"),
        ]
    )
    (timeline,) = timelines_of("r-2", lines)
    assert [item.get("topic") for item in timeline.context] == ["a"]


def test_a_collectors_prefix_and_foreign_lines_are_passed_over(tmp_path: Path):
    code, text = explain(
        tmp_path,
        "r-1",
        "Traceback (most recent call last):",
        "  12.5 edge-a-1 " + line("stream ended", 3.0, request_id="r-1", first_ms=80),
        "{not json",
        "[1, 2]",
    )
    assert code == 0
    assert "3 lines were passed over" in text
    assert "served as a whole stream" in text


def test_a_request_without_its_last_line_is_not_given_a_cause(tmp_path: Path):
    code, text = explain(
        tmp_path, "r-1", line("sent again", 1.0, request_id="r-1", reason="silent")
    )
    assert code == 0
    assert "no line tells how it ended" in text


def test_an_unknown_request_ends_with_the_exit_code_for_no(tmp_path: Path):
    code, text = explain(tmp_path, "r-9", line("refused", 1.0, request_id="r-1", reason="cap"))
    assert code == 1
    assert "r-9" in text


def test_without_logs_and_entry_vms_the_remedy_is_named():
    result = CliRunner().invoke(main, ["explain", "r-1"], env={"CORIANDERSHELF_ENTRIES": ""})
    assert result.exit_code == 2
    assert "--log-file" in result.output
