"""The time line merges processes by their stamps and shows only what is asked for."""

from __future__ import annotations

import argparse
import json
from pathlib import Path
from xml.etree import ElementTree

import pytest

from bergamotchute_cli.timeline import EventFileReader, add_timeline_command, merge_events
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events


def timeline(*arguments: str) -> int:
    parser = argparse.ArgumentParser()
    add_timeline_command(parser.add_subparsers())
    options = parser.parse_args(["timeline", *arguments])
    return int(options.run(options))


def write_story(folder: Path) -> None:
    """Write two processes whose wall clocks disagree by half a second."""
    entry = EventLog("entry-1", "entry", "a", lambda: 2_500_000)
    agent = EventLog("agent-1", "agent", "b", lambda: 2_000_000)
    sent = [entry.emit(events.REQUEST_DISPATCHED, request_id="r-1", endpoint="runner-1")]
    agent.observe_stamp(entry.stamp())
    took = [agent.emit(events.ATTEMPT_STARTED, request_id="r-1", endpoint="runner-1")]
    sent.append(entry.emit(events.FILE_APPLIED, revision=7))
    (folder / "entry-1.jsonl").write_text("".join(r.to_json() + "\n" for r in sent))
    (folder / "agent-1.jsonl").write_text("".join(r.to_json() + "\n" for r in took))


def test_effect_sorts_after_cause_when_clocks_disagree(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    write_story(tmp_path)
    assert timeline(str(tmp_path), "--request", "r-1", "--output", "json") == 0
    shown = [json.loads(line)["event"] for line in capsys.readouterr().out.splitlines()]
    assert shown == ["request_dispatched", "attempt_started"]


def test_filters_and_pictures(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    write_story(tmp_path)
    svg, page = tmp_path / "t.svg", tmp_path / "t.html"
    assert timeline(str(tmp_path), "--revision", "7", "--picture", str(page)) == 0
    assert capsys.readouterr().out.count("\n") == 1
    assert timeline(str(tmp_path), "--picture", str(svg)) == 0
    circles = ElementTree.parse(svg).findall(".//{http://www.w3.org/2000/svg}circle")
    assert len(circles) == 3


def test_a_missing_file_is_an_error(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert timeline(str(tmp_path / "none.jsonl")) == 2
    assert "none.jsonl" in capsys.readouterr().err


async def test_a_torn_line_waits_until_it_is_whole(tmp_path: Path, anyio_backend: str) -> None:
    path = tmp_path / "e.jsonl"
    line = EventLog("e", "entry", "a", lambda: 1).emit(events.PROCESS_READY).to_json() + "\n"
    path.write_text(line[:20])
    files = EventFileReader([path])
    assert await files.read() == []
    path.write_text(line)
    first = await files.read()
    assert len(first) == 1
    assert await files.read() == []
    assert merge_events(first + first) == first
