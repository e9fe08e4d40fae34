"""``bergamotchute timeline``: merge the events of all processes into one ordered list."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

import anyio
import httpx

from bergamotchute_cli._timeline_chart import draw_html, draw_svg
from bergamotchute_cli.options import ADMIN_TOKEN_FILE_VARIABLE, read_token
from bergamotchute_model.event_record import EventRecord, parse_event
from bergamotchute_model.hybrid_clock import HybridTimestamp

POLL_INTERVAL_S = 0.5
FETCH_TIMEOUT_S = 5.0
EVENTS_PATH = "/v1/admin/events"
DESCRIPTION = """Merge the numbered events of all processes into one ordered timeline.

SOURCE is an event file, a folder of *.jsonl event files, or the HOST:PORT of a running process,
which is queried with the operators' token. docs/EVENTS.md lists the events.

  bergamotchute timeline out/events --request r-17
  bergamotchute timeline 10.0.0.1:8080 10.0.0.2:8080 --follow
  bergamotchute timeline out/events --picture out/timeline.html
"""


@dataclass(frozen=True)
class EventFilter:
    """Filter of events by their fields; an empty field matches any value.

    :param revision: -1 for any.
    """

    request_id: str = ""
    endpoint: str = ""
    group: str = ""
    process: str = ""
    event: str = ""
    revision: int = -1

    def matches(self, record: EventRecord) -> bool:
        """Return whether all fields of the filter match ``record``."""
        text_fields = ("request_id", "endpoint", "group", "process", "event")
        if any(getattr(self, name) not in ("", getattr(record, name)) for name in text_fields):
            return False
        return self.revision in (-1, record.revision)


def merge_events(records: Iterable[EventRecord]) -> list[EventRecord]:
    """Return the events sorted by stamp, without duplicates."""
    unique = {(r.process, r.incarnation, r.sequence): r for r in records}
    return sorted(unique.values(), key=lambda record: record.order)


def format_event(record: EventRecord) -> str:
    """Return an event as one line of text."""
    clock = datetime.fromtimestamp(HybridTimestamp.parse(record.stamp).wall_us / 1e6, UTC)
    identifiers = {"request": record.request_id, "endpoint": record.endpoint, "group": record.group}
    details = [f"{name}={value}" for name, value in identifiers.items() if value]
    if record.revision >= 0:
        details.append(f"revision={record.revision}")
    details += [f"{name}={value}" for name, value in record.fields.items()]
    head = f"{clock:%H:%M:%S.%f} {record.number} {record.process:<14} {record.event:<20}"
    return " ".join([head, *details]).rstrip()


class EventFileReader:
    """Reads event files incrementally.

    :param offsets: bytes already read, by file.
    """

    def __init__(self, sources: list[Path]) -> None:
        self.sources = sources
        self.offsets: dict[Path, int] = {}

    async def read(self) -> list[EventRecord]:
        """Return new events; a partly written last line is left for the next call.

        :raises OSError: when a source can't be read.
        """
        return [record for path in self._files() for record in self._read_file(path)]

    def _files(self) -> Iterator[Path]:
        for source in self.sources:
            if source.is_dir():
                yield from sorted(source.rglob("*.jsonl"))
            else:
                yield source

    def _read_file(self, path: Path) -> Iterator[EventRecord]:
        with path.open("rb") as file:
            file.seek(self.offsets.get(path, 0))
            data = file.read()
        whole, newline, _incomplete = data.rpartition(b"\n")
        self.offsets[path] = self.offsets.get(path, 0) + len(whole) + len(newline)
        for line in whole.splitlines():
            record = parse_event(line)
            if record is not None:
                yield record


class LiveProcessReader:
    """Fetches new events from running processes.

    :param places: the incarnation and the last sequence number read, by address.
    """

    def __init__(self, addresses: list[str], admin_token: str) -> None:
        self.addresses = addresses
        self.headers = {"authorization": f"Bearer {admin_token}"}
        self.places: dict[str, tuple[str, int]] = {}

    async def read(self) -> list[EventRecord]:
        """Return new events; print a warning for each process that can't be queried."""
        found: list[EventRecord] = []

        async def fetch(client: httpx.AsyncClient, address: str) -> None:
            try:
                found.extend(await self._fetch_events(client, address))
            except httpx.HTTPError as error:
                reason = str(error) or type(error).__name__
                print(f"timeline: {address}: {reason}", file=sys.stderr)

        async with (
            httpx.AsyncClient(timeout=FETCH_TIMEOUT_S, headers=self.headers) as client,
            anyio.create_task_group() as group,
        ):
            for address in self.addresses:
                group.start_soon(fetch, client, address)
        return found

    async def _fetch_events(self, client: httpx.AsyncClient, address: str) -> list[EventRecord]:
        incarnation, sequence = self.places.get(address, ("", 0))
        query: dict[str, str | int] = {"incarnation": incarnation, "after": sequence}
        response = await client.get(f"http://{address}{EVENTS_PATH}", params=query)
        response.raise_for_status()
        records = [r for line in response.text.splitlines() if (r := parse_event(line))]
        if records:
            self.places[address] = (records[-1].incarnation, records[-1].sequence)
        return records


def _create_readers(
    names: list[str], admin_token_file: str
) -> list[EventFileReader | LiveProcessReader]:
    """Create the readers of all sources.

    :raises CommandError: when a source is a process and there is no valid token file.
    """
    files = [Path(name) for name in names if Path(name).exists() or ":" not in name]
    process_addresses = [name for name in names if ":" in name and not Path(name).exists()]
    readers: list[EventFileReader | LiveProcessReader] = []
    if files:
        readers.append(EventFileReader(files))
    if process_addresses:
        token = read_token("--admin-token-file", admin_token_file, ADMIN_TOKEN_FILE_VARIABLE)
        readers.append(LiveProcessReader(process_addresses, token))
    return readers


async def _read_events(readers: list[EventFileReader | LiveProcessReader]) -> list[EventRecord]:
    records: list[EventRecord] = []
    for reader in readers:
        records += await reader.read()
    return records


async def _follow_events(
    readers: list[EventFileReader | LiveProcessReader], show: Callable[[EventRecord], None]
) -> None:
    """Show events as they arrive.

    Each event is delayed by one poll, so that the events of several processes can be sorted.
    """
    held: list[EventRecord] = []
    while True:
        fresh = merge_events(await _read_events(readers))
        ready = held + [record for record in fresh if held and record.order < held[-1].order]
        for record in merge_events(ready):
            show(record)
        held = [record for record in fresh if record not in ready]
        await anyio.sleep(POLL_INTERVAL_S)


def _print_text(record: EventRecord) -> None:
    print(format_event(record), flush=True)


def _print_json(record: EventRecord) -> None:
    print(record.to_json(), flush=True)


def add_timeline_command(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the ``timeline`` subcommand."""
    parser = commands.add_parser(
        "timeline",
        help="merge the events of all processes",
        description=DESCRIPTION,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("sources", nargs="+", metavar="SOURCE", help="file, folder or HOST:PORT")
    parser.add_argument("--request", default="", help="only this request id")
    parser.add_argument("--endpoint", default="", help="only this endpoint")
    parser.add_argument("--group", default="", help="only this rank group")
    parser.add_argument("--revision", type=int, default=-1, help="only this revision")
    parser.add_argument("--process", default="", help="only this process")
    parser.add_argument("--event", default="", help="only this kind of event, by its name")
    parser.add_argument("--follow", action="store_true", help="keep showing new events")
    parser.add_argument("--output", choices=("text", "json"), default="text")
    parser.add_argument(
        "--admin-token-file",
        default=os.environ.get(ADMIN_TOKEN_FILE_VARIABLE, ""),
        metavar="FILE",
        help=f"file with the operators' token (${ADMIN_TOKEN_FILE_VARIABLE})",
    )
    parser.add_argument("--picture", type=Path, help="also draw a chart to FILE.svg or FILE.html")
    parser.set_defaults(run=run_timeline)


def run_timeline(options: argparse.Namespace) -> int:
    """Show the timeline; return 0, or 2 when a source can't be read."""
    event_filter = EventFilter(
        request_id=options.request,
        endpoint=options.endpoint,
        group=options.group,
        process=options.process,
        event=options.event,
        revision=options.revision,
    )
    write = _print_json if options.output == "json" else _print_text
    readers = _create_readers(options.sources, options.admin_token_file)

    def show(record: EventRecord) -> None:
        if event_filter.matches(record):
            write(record)

    try:
        if options.follow:
            anyio.run(_follow_events, readers, show)
        selected = [
            r for r in merge_events(anyio.run(_read_events, readers)) if event_filter.matches(r)
        ]
        for record in selected:
            write(record)
        if options.picture:
            draw = draw_html if options.picture.suffix == ".html" else draw_svg
            options.picture.write_text(draw(selected), encoding="utf-8")
    except OSError as error:
        print(f"timeline: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        pass
    return 0
