"""What children cost their relay: writes docs/data/bench_relay_links.json.

One process runs the real relay, on a view of 990 files that is always confirmed, and serves N
children over loopback. Another process holds the children, which renew and announce as entries do.
View changes and membership changes happen at given rates and go to every child. The slopes
(microseconds of processor time an idle link, a renewal, a delivered change, and bytes a link) are
least-squares fits over all rows.

``python -m tools.bench_relay_links``
"""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random
from typing import Any

import anyio

from bergamotchute_daemon.control_client import LEASE_RENEWAL_INTERVAL_S, ControlClient
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.relay import Relay
from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_model.control_messages import (
    Announce,
    ControlMessage,
    RenewLease,
    Subscribe,
    ViewDelta,
)
from bergamotchute_model.hello import Hello
from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import ProcessRole
from bergamotchute_model.view import FileInForce
from bergamotchute_wire.message_codec import MessageCodec
from bergamotchute_wire.web_socket_transport import (
    LinkRoute,
    serve_web_socket_links,
    web_socket_dial,
)
from tools.bench_messages import endpoint, entry
from tools.fleet import LOOPBACK, Fleet, free_ports

DATA = Path(__file__).resolve().parent.parent / "docs" / "data" / "bench_relay_links.json"
SPAN_S = 4.0
SETTLE_S = 1.5
OPEN_AT_ONCE = 20
FILES = 990
FILE_CHARACTERS = 2000
CODEC: MessageCodec[ControlMessage] = MessageCodec(ControlMessage)
PATH = "/control"
TOKEN = "bench"


@dataclass(frozen=True)
class Case:
    """One row of the bench.

    :param renewing: whether children renew and announce once every ``LEASE_RENEWAL_INTERVAL_S``.
    :param views_per_s: view changes that go to every child.
    :param members_per_s: membership changes that go to every child.
    """

    links: int
    renewing: bool = False
    views_per_s: float = 0.0
    members_per_s: float = 0.0


CASES = (
    Case(0),
    Case(50),
    Case(150),
    Case(500),
    Case(50, renewing=True),
    Case(150, renewing=True),
    Case(500, renewing=True),
    Case(50, views_per_s=4.0),
    Case(150, views_per_s=2.0),
    Case(500, views_per_s=0.67),
    Case(50, members_per_s=4.0),
    Case(150, members_per_s=2.0),
    Case(500, members_per_s=1.0),
)


def resident_bytes() -> int:
    """Return this process's resident memory."""
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def file(index: int, revision: int) -> FileInForce:
    """Return a file of usual size."""
    text = f"{revision:08d}" + "x" * FILE_CHARACTERS
    return FileInForce(f"team-{index:04d}", revision, text, "d" * 64, revision)


async def serve(port: int, case: Case) -> None:
    """Run a relay whose view is always confirmed; write usage to stdout twice a second."""
    view = ViewHolder(lease_expires_at=float("inf"))
    view.on_delta(ViewDelta(0, FILES, tuple(file(i, i + 1) for i in range(FILES))))
    dial = web_socket_dial(PATH, CODEC, TOKEN)
    hello = Hello("relay-1", ProcessRole.RELAY, "a1b2c3d4")
    log = EventLog("relay-1", "relay", "a1b2c3d4", lambda: 0)
    upstream = ControlClient((), dial, hello, view, log, Random(1))
    async with anyio.create_task_group() as tasks:
        relay = Relay(upstream, (), dial, hello, log, Random(1), tasks)
        routes = {PATH: LinkRoute(CODEC, relay.serve_link)}
        address = Address(LOOPBACK, port)
        tasks.start_soon(lambda: serve_web_socket_links(address, routes, TOKEN))
        tasks.start_soon(report_usage)
        if case.views_per_s:
            tasks.start_soon(change_view, relay, case.views_per_s)
        if case.members_per_s:
            tasks.start_soon(change_members, relay, case.members_per_s)


async def report_usage() -> None:
    """Write time, processor time and memory to stdout."""
    while True:
        print(json.dumps([time.monotonic(), time.process_time(), resident_bytes()]), flush=True)
        await anyio.sleep(0.25)


async def change_view(relay: Relay, per_s: float) -> None:
    """Put one more file change in force, again and again."""
    view = relay.voter_client.view
    while True:
        await anyio.sleep(1 / per_s)
        revision = view.revision + 1
        view.on_delta(ViewDelta(view.revision, revision, (file(revision % FILES, revision),)))
        relay.on_view_change(view)


async def change_members(relay: Relay, per_s: float) -> None:
    """Have an endpoint announce something new, again and again."""
    sequence = 1
    while True:
        await anyio.sleep(1 / per_s)
        sequence += 1
        changed = replace(endpoint(1), sequence=sequence, draining=bool(sequence % 2))
        relay.on_announce(Announce(endpoints=(changed,)))


async def child(
    port: int, number: int, case: Case, limiter: anyio.CapacityLimiter, opened: list[int]
) -> None:
    """Be one child: subscribe, read all that comes, renew."""
    context = web_socket_dial(PATH, CODEC, TOKEN)(Address(LOOPBACK, port))
    async with limiter:
        link = await context.__aenter__()
    opened.append(number)
    try:
        await link.send(Hello(f"entry-{number:04d}", ProcessRole.ENTRY, "a1b2c3d4"))
        await link.send(Subscribe(FILES))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read_all, link)
            if case.renewing:
                await anyio.sleep(number / case.links * LEASE_RENEWAL_INTERVAL_S)
                await renew(link, number)
    finally:
        await context.__aexit__(None, None, None)


async def read_all(link: Any) -> None:
    """Read what comes."""
    while True:
        await link.receive()


async def renew(link: Any, number: int) -> None:
    """Renew and announce as an entry does."""
    sequence = 0
    while True:
        sequence += 1
        await link.send(RenewLease(sequence, FILES))
        await link.send(Announce(entries=(replace(entry(number), sequence=sequence),)))
        await anyio.sleep(LEASE_RENEWAL_INTERVAL_S)


async def run_case(case: Case) -> dict[str, float]:
    """Run one row against a fresh relay; return what it used."""
    with Fleet(Path("out/bench")) as fleet:
        port = free_ports(1)[0]
        (fleet.folder / "relay.log").unlink(missing_ok=True)
        arguments = [str(port), str(case.views_per_s), str(case.members_per_s)]
        log = fleet.start("relay", ["module:tools.bench_relay_links", "--serve", *arguments]).log
        await _until(lambda: anyio.connect_tcp(LOOPBACK, port))
        limiter = anyio.CapacityLimiter(OPEN_AT_ONCE)
        opened: list[int] = []
        async with anyio.create_task_group() as tasks:
            for number in range(case.links):
                tasks.start_soon(child, port, number, case, limiter, opened)
            while len(opened) < case.links:  # noqa: ASYNC110 - counts many tasks.
                await anyio.sleep(0.05)
            await anyio.sleep(SETTLE_S)
            before = _newest(log)
            await anyio.sleep(SPAN_S)
            after = _newest(log)
            tasks.cancel_scope.cancel()
    span_s = after[0] - before[0]
    return {
        "links": case.links,
        "renewals_per_s": case.links / LEASE_RENEWAL_INTERVAL_S if case.renewing else 0.0,
        "views_per_s": case.links * case.views_per_s,
        "members_per_s": case.links * case.members_per_s,
        "cpu_us_per_s": round((after[1] - before[1]) / span_s * 1e6, 1),
        "rss_bytes": after[2],
    }


def _newest(log: Path) -> list[float]:
    """Return the last whole usage line."""
    lines = log.read_text(encoding="utf-8").splitlines()
    found: list[float] = json.loads(lines[-1] if lines[-1].endswith("]") else lines[-2])
    return found


def slopes(rows: list[dict[str, float]]) -> dict[str, float]:
    """Fit processor time and memory over what each row did."""
    import numpy as np  # noqa: PLC0415 - kept out of the relay, whose memory is measured.

    names = ("links", "renewals_per_s", "views_per_s", "members_per_s")
    counts = np.array([[1.0, *(row[name] for name in names)] for row in rows])
    cpu = np.linalg.lstsq(counts, np.array([row["cpu_us_per_s"] for row in rows]), rcond=None)[0]
    memory = np.linalg.lstsq(
        counts[:, :2], np.array([row["rss_bytes"] for row in rows]), rcond=None
    )[0]
    labels = ("idle_us_per_s", "idle_link_us_per_s", "renewal_us", "view_us", "member_us")
    fitted = {label: round(float(value), 2) for label, value in zip(labels, cpu, strict=True)}
    return {
        **fitted,
        "process_bytes": round(float(memory[0])),
        "link_bytes": round(float(memory[1])),
    }


async def measure() -> list[dict[str, float]]:
    """Run every case."""
    rows: list[dict[str, float]] = []
    for case in CASES:
        rows.append(await run_case(case))
        print(rows[-1], flush=True)
    return rows


async def _until(attempt: Callable[[], Awaitable[Any]]) -> None:
    """Try until it works, for a few seconds."""
    with anyio.fail_after(10):
        while True:
            try:
                stream = await attempt()
            except OSError:
                await anyio.sleep(0.05)
            else:
                await stream.aclose()
                return


def main() -> None:
    """Serve, or measure and write the figures."""
    parser = argparse.ArgumentParser(description="Measure what children cost their relay.")
    parser.add_argument("--serve", nargs=3, metavar=("PORT", "VIEWS_PER_S", "MEMBERS_PER_S"))
    options = parser.parse_args()
    if options.serve:
        port, views, members = options.serve
        case = Case(0, views_per_s=float(views), members_per_s=float(members))
        anyio.run(serve, int(port), case)
        sys.exit(0)
    rows = anyio.run(measure)
    figures = {"span_s": SPAN_S, "files": FILES, "rows": rows, "slopes": slopes(rows)}
    DATA.parent.mkdir(parents=True, exist_ok=True)
    DATA.write_text(json.dumps(figures, indent=1) + "\n", encoding="utf-8")
    print(figures["slopes"])


if __name__ == "__main__":
    main()
