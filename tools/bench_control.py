"""What the control log costs: writes docs/data/bench_control.json.

Three processes host the real voter on folders of one disk and talk over loopback. The leader
measures, in one run: a bare sync and a bare round trip, the latency of one commit at a time
against their sum, and claims a second by many proposers at once against one sync for each claim.
Then one process measures how long a folder takes to open against the length of the log, with
snapshots and without.

``python -m tools.bench_control``
"""

from __future__ import annotations

import argparse
import json
import statistics
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

import anyio

from bergamotchute_consensus.actions import Persist
from bergamotchute_consensus.file_disk import FileDisk
from bergamotchute_consensus.hard_state import HardState
from bergamotchute_consensus.log_entry import EntryContent, LogEntry
from bergamotchute_consensus.membership import Membership
from bergamotchute_consensus.messages import RequestPurpose
from bergamotchute_consensus.snapshot import Snapshot
from bergamotchute_consensus.storage import Storage
from bergamotchute_daemon._voter_state import COMMAND_CODEC, VoterState
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.voter import CONSENSUS_CODEC, Voter, VoterSettings
from bergamotchute_model.commands import IssueFence, TakeClaim
from bergamotchute_model.identifiers import Address, AttemptId, ClaimKey
from bergamotchute_model.membership import ProcessRole
from bergamotchute_wire.web_socket_transport import (
    LinkRoute,
    serve_web_socket_links,
    web_socket_dial,
)
from tools.fleet import LOOPBACK, Fleet, free_ports

DATA = Path(__file__).resolve().parent.parent / "docs" / "data" / "bench_control.json"
VOTERS = 3
PATH = "/consensus"
TOKEN = "bench"
RECORD_BYTES = 400
ROUNDS = 5
COMMITS = 200
SPAN_S = 4.0
PROPOSERS = (1, 8, 64, 256)
LOG_LENGTHS = (1_000, 4_000, 16_000, 64_000)
SNAPSHOT_EVERY = 10_000
REPEATS = 3
RUN_S = 60.0


def claim(number: int) -> bytes:
    """Return a claim as a proposer sends it."""
    attempt = AttemptId(f"entry-0001.a1b2c3d4-{number}", 1, "order-1", "f00f00f00f00", "e1")
    key = ClaimKey("parish-of-santa-maria", "orders", f"order-{number:012d}")
    return COMMAND_CODEC.encode(TakeClaim(key, "d" * 64, attempt))


def sync_seconds(disk: FileDisk) -> float:
    """Return how long one append of a record takes with its sync, in seconds."""
    started_at = time.perf_counter()
    disk.append("bare", b"x" * RECORD_BYTES)
    disk.sync("bare")
    return time.perf_counter() - started_at


async def echo(port: int) -> None:
    """Send back whatever comes."""

    async def serve(stream: Any) -> None:
        async with stream:
            async for data in stream:
                await stream.send(data)

    listener = await anyio.create_tcp_listener(local_host=LOOPBACK, local_port=port)
    await listener.serve(serve)


async def round_trip_seconds(stream: Any) -> float:
    """Return how long one round trip of a record takes, in seconds."""
    started_at = time.perf_counter()
    await stream.send(b"x" * RECORD_BYTES)
    left = RECORD_BYTES
    while left:
        left -= len(await stream.receive(left))
    return time.perf_counter() - started_at


async def commit(voter: Voter, command: bytes) -> None:
    """Have the leader commit one command."""
    done = anyio.Event()
    voter.submit_request(RequestPurpose.COMMAND, command, lambda *_: done.set(), _refused)
    await done.wait()


def _refused(*_: object) -> None:
    raise RuntimeError("the leader refused a command")


async def commit_seconds(voter: Voter, number: int) -> float:
    """Return how long one commit takes, in seconds."""
    command = claim(number)
    started_at = time.perf_counter()
    await commit(voter, command)
    return time.perf_counter() - started_at


async def claims_per_second(voter: Voter, proposers: int, first: int) -> dict[str, float]:
    """Return how many claims a second so many proposers get, and what each costs the leader."""
    done = 0
    end = time.perf_counter() + SPAN_S

    async def propose(start: int) -> None:
        nonlocal done
        number = start
        while time.perf_counter() < end:
            await commit(voter, claim(number))
            number += proposers
            done += 1

    processor_s, started_at = time.process_time(), time.perf_counter()
    async with anyio.create_task_group() as tasks:
        for position in range(proposers):
            tasks.start_soon(propose, first + position)
    span_s = time.perf_counter() - started_at
    return {
        "proposers": proposers,
        "claims_per_s": done / span_s,
        "leader_processor_us_per_claim": (time.process_time() - processor_s) / done * 1e6,
    }


async def measure(voter: Voter, folder: Path, echo_port: int) -> dict[str, Any]:
    """Measure as the leader."""
    disk = FileDisk(folder / "bare")
    async with await anyio.connect_tcp(LOOPBACK, echo_port) as stream:
        rounds = [await measure_round(voter, disk, stream, number) for number in range(ROUNDS)]
    rates = []
    for position, proposers in enumerate(PROPOSERS):
        rates.append(await claims_per_second(voter, proposers, (position + 1) * 10_000_000))
    sync_ms = statistics.median(one["sync_ms"] for one in rounds)
    best = max(rate["claims_per_s"] for rate in rates)
    return {
        "rounds": rounds,
        "commit_over_sync_and_round_trip": statistics.median(one["ratio"] for one in rounds),
        "claims": rates,
        "claims_over_one_sync_each": best * sync_ms / 1e3,
        "claims_over_one_at_a_time": best / rates[0]["claims_per_s"],
    }


async def measure_round(voter: Voter, disk: FileDisk, stream: Any, number: int) -> dict[str, float]:
    """Measure a sync, a round trip and a commit in turn, so that all meet the same disk."""
    syncs, trips, commits = [], [], []
    for position in range(COMMITS):
        syncs.append(sync_seconds(disk))
        trips.append(await round_trip_seconds(stream))
        commits.append(await commit_seconds(voter, number * COMMITS + position))
    sync_ms, trip_ms, commit_ms = (
        statistics.median(taken) * 1e3 for taken in (syncs, trips, commits)
    )
    return {
        "sync_ms": sync_ms,
        "round_trip_ms": trip_ms,
        "commit_ms": commit_ms,
        "commit_p99_ms": statistics.quantiles(commits, n=100)[98] * 1e3,
        "ratio": commit_ms / (sync_ms + trip_ms),
    }


async def host_voter(number: int, ports: list[int], folder: Path) -> None:
    """Host one voter; the one that leads measures and writes the result."""
    addresses = tuple(Address(LOOPBACK, port) for port in ports[:VOTERS])
    voter = Voter(
        VoterSettings(addresses[number], addresses, bootstrap=True),
        FileDisk(folder / f"voter-{number}"),
        web_socket_dial(PATH, CONSENSUS_CODEC, TOKEN),
        log=EventLog(f"voter-{number}", ProcessRole.VOTER, "a1b2c3d4", lambda: 0),
        random=Random(),
    )
    routes = {PATH: LinkRoute(CONSENSUS_CODEC, voter.serve_peer)}
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_web_socket_links, addresses[number], routes, TOKEN)
        tasks.start_soon(echo, ports[VOTERS + number])
        tasks.start_soon(voter.run)
        while True:
            await anyio.sleep(0.2)
            state = voter.replica.state if voter.replica else None
            if (
                state
                and state.is_leader
                and all(peer.match_index for peer in state.progress_by_replica.values())
            ):
                other = ports[VOTERS + (number + 1) % VOTERS]
                result = await measure(voter, folder, other)
                (folder / "result.new").write_text(json.dumps(result), encoding="utf-8")
                (folder / "result.new").rename(folder / "result.json")
                await anyio.sleep_forever()


async def measure_group(folder: Path) -> dict[str, Any]:
    """Start the voters and wait for the leader's figures."""
    ports = free_ports(2 * VOTERS)
    with Fleet(folder / "logs") as fleet:
        for number in range(VOTERS):
            arguments = ["--voter", str(number), "--folder", str(folder)]
            arguments += ["--ports", ",".join(map(str, ports))]
            fleet.start(f"voter-{number}", ["module:tools.bench_control", *arguments])
        with anyio.fail_after(RUN_S):
            while not (folder / "result.json").exists():  # noqa: ASYNC110 - another process writes.
                await anyio.sleep(0.2)
    result: dict[str, Any] = json.loads((folder / "result.json").read_text(encoding="utf-8"))
    return result


def fill(folder: Path, length: int, snapshots: bool) -> int:
    """Write a log of commands on few names; return the bytes of the folder."""
    disk = FileDisk(folder)
    storage = Storage(disk, lambda: "bench")
    storage.write([Persist(1, HardState("bench", 1, ""))])
    state = VoterState()
    for first in range(1, length + 1, 250):
        entries = tuple(
            LogEntry(
                index,
                1,
                EntryContent.COMMAND,
                COMMAND_CODEC.encode(IssueFence(f"runner-{index % 50}", "bench", f"grant-{index}")),
            )
            for index in range(first, min(first + 250, length + 1))
        )
        storage.write([Persist(first, None, entries)])
        for entry in entries:
            state.apply(entry)
        if snapshots and state.applied_index % SNAPSHOT_EVERY == 0:
            data = state.take_snapshot()
            snapshot = Snapshot(state.applied_index, 1, Membership(), data)
            storage.write([Persist(first + 1, snapshot=snapshot)])
    disk.close()
    return sum(path.stat().st_size for path in folder.iterdir())


def recovery_seconds(folder: Path) -> float:
    """Return how long a folder takes to open and its state to be built, in seconds."""
    taken = []
    for _ in range(REPEATS):
        started_at = time.perf_counter()
        disk = FileDisk(folder)
        storage = Storage(disk, lambda: "bench")
        state = VoterState()
        state.reset(storage.recovered.snapshot)
        for entry in storage.recovered.entries:
            state.apply(entry)
        taken.append(time.perf_counter() - started_at)
        disk.close()
    return min(taken)


def measure_recovery(folder: Path) -> list[dict[str, Any]]:
    """Return the time to recover for each length of the log, with snapshots and without."""
    rows = []
    for length in LOG_LENGTHS:
        for snapshots in (False, True):
            place = folder / f"log-{length}-{snapshots}"
            size = fill(place, length + SNAPSHOT_EVERY // 2, snapshots)
            rows.append(
                {
                    "entries": length + SNAPSHOT_EVERY // 2,
                    "snapshots": snapshots,
                    "folder_bytes": size,
                    "recovery_ms": recovery_seconds(place) * 1e3,
                }
            )
    return rows


def main() -> None:
    """Run the whole bench, or one voter of it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--voter", type=int, default=-1)
    parser.add_argument("--ports", default="")
    parser.add_argument("--folder", type=Path)
    values = parser.parse_args()
    if values.voter >= 0:
        ports = [int(port) for port in values.ports.split(",")]
        anyio.run(host_voter, values.voter, ports, values.folder)
        return
    with tempfile.TemporaryDirectory(prefix="bench-control-") as name:
        folder = Path(name)
        result = anyio.run(measure_group, folder)
        result["recovery"] = measure_recovery(folder)
    DATA.write_text(json.dumps(result, indent=2) + "\n", encoding="utf-8")
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
