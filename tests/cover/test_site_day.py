"""A day of a site is played with real processes, and its judge finds each kind of break."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from click.testing import CliRunner

from coriandershelf_rig.internal.cli import main
from coriandershelf_rig.internal.site_day.judge import judge_day
from coriandershelf_rig.internal.site_day.run import play_day
from coriandershelf_rig.internal.site_day.site_file import FileError, read_site

SITE_FILE = Path(__file__).parent.parent / "data" / "site-day" / "small.toml"


def stream(name="report", events_count=10, rows=((1, 10, "v1", "run-1"),), is_complete=True):
    tries = [
        {"id": "a-1", "status": 200, "is_complete": is_complete, "resumes": None, "body": ""},
    ]
    return {
        "name": name, "events_count": events_count, "events": [list(row) for row in rows],
        "is_complete": is_complete, "tries": tries,
    }  # fmt: skip


def judged(*requests, runs=()):
    return judge_day(requests, runs, read_site(SITE_FILE, "mixed").kinds)


def run_of(request_id):
    return {"request": request_id, "run": "run-1"}


def test_a_day_of_real_processes_breaks_no_rule(tmp_path):
    site = read_site(SITE_FILE, "mixed")
    result = asyncio.run(play_day(site, 5, tmp_path, lambda line: None))
    assert not result.problem
    assert result.verdict.broken == [], "\n".join(result.describe())
    assert result.verdict.counts["streams"] > 50
    assert result.verdict.counts["streams taken up"] > 0
    assert [entry.partition(" ")[0] for entry in result.not_played] == ["lossy"]


def test_whole_streams_and_streams_that_go_on_break_no_rule():
    went_on = stream(rows=((1, 4, "v1", "run-1"), (5, 10, "v1", "run-2")))
    cut = stream(rows=((1, 4, "v1", "run-1"),), is_complete=False)
    assert judged(stream(), went_on, cut).breaks == []


@pytest.mark.parametrize(
    "request_",
    [
        stream(rows=((1, 4, "v1", "run-1"), (6, 10, "v1", "run-1"))),
        stream(rows=((1, 4, "v1", "run-1"), (4, 10, "v1", "run-1"))),
        stream(rows=((2, 10, "v1", "run-1"),)),
        stream(rows=((1, 9, "v1", "run-1"),)),
        stream(rows=((1, 4, "v1", "run-1"), (-1, -1, "?", "?")), is_complete=False),
        stream("question", rows=((1, 4, "v1", "run-1"), (5, 10, "v1", "run-2"))),
    ],
    ids=["missing", "doubled", "start-missing", "ended-early", "foreign", "joined"],
)
def test_a_stream_out_of_order_is_found(request_):
    assert judged(request_).broken == ["ORDER"]


def test_mixed_versions_are_found_from_the_third_stream_on():
    mixed = stream(rows=((1, 4, "v1", "run-1"), (5, 10, "v2", "run-2")))
    assert judged(mixed, mixed).broken == []
    assert judged(mixed, mixed, mixed).broken == ["ORDER versions"]


def test_a_second_run_a_wrong_refusal_and_another_body_are_found():
    order = stream("order", 0, ())
    order["tries"][0] |= {"body": "a-1 0 ...", "status": 200}
    assert judged(order, runs=[run_of("a-1")]).broken == []
    assert judged(order, runs=[run_of("a-1")] * 2).broken == ["ONCE"]
    order["tries"][0]["body"] = "b-7 0 ..."
    assert judged(order).broken == ["MIXED"]
    order["tries"][0] |= {"status": 503, "is_complete": False}
    assert judged(order, runs=[run_of("a-1")]).broken == ["REFUSED"]


def test_a_day_file_takes_the_place_of_a_day_of_the_site(tmp_path):
    day = tmp_path / "day.toml"
    day.write_text('name = "other"\nlength_s = 3.0\nclasses = [{ name = "report", retries = 7 }]')
    site = read_site(SITE_FILE, str(day))
    assert (site.day, site.length_s, site.kinds["report"].retries) == ("other", 3.0, 7)


@pytest.mark.parametrize(
    ("text", "part"),
    [
        ("name = \nlength_s = 3.0", "line 1"),
        ("length_s = 3.0", "field 'name' is missing"),
        ('name = "d"\nfaults = [{ kind = "garble" }]', "field 'at' is missing in the entry"),
        ('name = "d"\nfaults = [{ at = 1, kind = "garble", zone = "east" }]', "zone 'east'"),
        ('name = "d"\nclasses = [{ name = "none" }]', "kind of request 'none'"),
    ],
)
def test_a_wrong_day_file_gets_a_clear_message(tmp_path, text, part):
    day = tmp_path / "day.toml"
    day.write_text(text)
    with pytest.raises(FileError, match=part):
        read_site(SITE_FILE, str(day))
    result = CliRunner().invoke(main, ["site-day", "--site", str(SITE_FILE), "--day", str(day)])
    assert result.exit_code == 2
    assert "day.toml" in result.output


def test_a_seed_repeats_a_drawn_day(tmp_path):
    troubles = "\n".join(f'[[troubles]]\nkind = "garble"\nx = 0.{number}' for number in range(1, 9))
    file = tmp_path / "site.toml"
    file.write_text(f"{SITE_FILE.read_text()}\n{troubles}\n")
    days = [read_site(file, "drawn", seed).entries for seed in (3, 3, 4)]
    assert len(days[0]) == 8
    assert days[0] == days[1] != days[2]


def test_an_unknown_day_is_answered_with_the_known_ones():
    with pytest.raises(FileError, match="it has: mixed"):
        read_site(SITE_FILE, "none")
