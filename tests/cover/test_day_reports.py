"""The table that compares two states of the code by the bench's reports."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from coriandershelf_rig.internal.cli import main
from coriandershelf_rig.internal.day_reports import compare, decode_report


def group(name: str, **counts: float) -> dict[str, object]:
    fields = {"n": 20, "in_aim": 16, "late": 1, "refused": 1, "failed": 0, "not_owed": 2}
    return {"name": name, **fields, "worth": 0.9, **counts}


def report(worth: float, **changes: object) -> bytes:
    fields = {
        "G": worth,
        "parts": [["whole day", 0.4, 0.9], ["worst windows", 0.28, 0.5]],
        "prices": [["seconds of servers ordered", 280.0, 0.12], ["probes", 0.0, 0.03]],
        "all": group("all"),
        "classes": [group("plan")],
        "zones": [group("zone-1")],
        "windows": [group("0"), group("2", worth=0.2, refused=9), group("4", n=3, worth=0.0)],
        "ends": {"200": 17, "deadline": 2},
        "breaks": {},
        "fault": None,
    }
    return json.dumps({**fields, **changes}).encode()


def test_shares_count_only_what_is_owed_and_thin_seconds_are_left_out():
    text = compare({"base": {"day": decode_report(report(0.5))}})
    assert "| day | base | 0.500 | 0.900 | 0.500 | 0.000 | 0.000 | 0.150 | 0.120 | 0.889 |" in text
    assert "weakest seconds 2 (0.20: 1 late, 9 refused, 0 failed of 18); 0 (0.90" in text


def test_only_days_that_all_states_played_are_compared():
    base = {day: decode_report(report(0.5)) for day in "abc"}
    changed = {"a": decode_report(report(0.6)), "b": decode_report(report(0.52))}
    text = compare({"base": base, "changed": changed})
    assert "changed: worth +0.0600 ± 0.0400 (standard error) over base" in text
    assert "| mean of 2 | changed | 0.560 |" in text
    with pytest.raises(ValueError, match="no day"):
        compare({"base": base, "changed": {}})


def test_a_day_that_was_given_up_says_so():
    day = decode_report(report(0.0, fault="too slow", breaks={"ONE": 2}))
    assert day.faults == ["ONE", "too slow"]


@pytest.mark.parametrize("data", [b"", b"[]", b"{}", b'{"G": 1}', report(0.5, parts=[["x"]])])
def test_a_file_that_is_no_report_is_named_as_such(data):
    with pytest.raises(ValueError, match="not a report"):
        decode_report(data)


def test_the_command_prints_the_table_and_writes_the_plot(tmp_path):
    for state, worth in (("base", 0.5), ("changed", 0.6)):
        (tmp_path / state).mkdir()
        (tmp_path / state / "day.json").write_bytes(report(worth))
    plot = tmp_path / "plot.png"
    folders = [str(tmp_path / "base"), str(tmp_path / "changed")]
    result = CliRunner().invoke(
        main, ["compare-days", *folders, "--plot", str(plot), "--day", "day"]
    )
    assert result.exit_code == 0, result.output
    assert "changed: worth +0.1000 (one day) over base" in result.output
    assert plot.stat().st_size > 0
    broken = tmp_path / "broken"
    broken.mkdir()
    (broken / "day.json").write_bytes(b"{}")
    result = CliRunner().invoke(main, ["compare-days", str(broken)])
    assert result.exit_code == 1
    assert "not a report" in result.output
