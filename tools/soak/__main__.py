"""Soak real processes with faults: ``python -m tools.soak [--seeds N] [--seed S] [--seconds T]``.

Exit status 0 if no promise was broken, 1 otherwise. The logs of a seed that broke one, or that did
not recover fully, are kept.
"""

from __future__ import annotations

import argparse
import shutil
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random

import anyio
import httpx

from tools.node_processes import ROOT, Build, NodeProcesses, claim_network
from tools.soak.clients import OPERATOR_TIMEOUT_S, Caller, Operator, open_client
from tools.soak.endpoints import StandInEndpoint
from tools.soak.faults import CONTROL_COUNT, ENTRY_COUNT, Faults
from tools.soak.history import History, find_violations

ENDPOINT_COUNT = 5
CALLER_COUNT = 10
PUT_LANES, READERS = 2, 3
START_TIMEOUT_S = 20.0
RECOVERY_S = 12.0
CALM_S = 4.0
FINAL_READ_TIMEOUT_S = 10.0
STALL_PROBE_S = 0.02

KEPT_LOGS_SHARE = 0.95
"""Share of requests served after recovery below which the logs of a run are kept."""


@dataclass(frozen=True)
class Report:
    """The outcome of one seed.

    :param served_share: share of the requests after the recovery that were served.
    :param stall_s: longest time, since the recovery, in which the soak's own process did not run its
        clients and endpoints.
    :param not_served: how these requests ended otherwise, by status; 0 for no whole response.
    """

    seed: int
    requests: int
    served_share: float
    stall_s: float
    not_served: Counter[int]
    injected: Counter[str]
    violations: list[str]


async def soak(seed: int, duration_s: float, nodes: NodeProcesses, build: Build) -> Report:
    """Run one seed; the processes must be ended by the caller."""
    random, history = Random(seed), History()
    control_hosts = [nodes.control_host(number) for number in range(CONTROL_COUNT)]
    entry_hosts = [nodes.entry_host(number) for number in range(ENTRY_COUNT)]
    for number in range(CONTROL_COUNT):
        nodes.start_control(number, build, found=True)
    for number in range(ENTRY_COUNT):
        nodes.start_entry(number, build)
    incarnations = dict.fromkeys(entry_hosts, 1)
    async with (
        open_client(OPERATOR_TIMEOUT_S) as client,
        anyio.create_task_group() as tasks,
    ):
        operator = Operator(client, control_hosts, entry_hosts, history, Random(seed), incarnations)
        with anyio.fail_after(START_TIMEOUT_S):
            while not await operator.put_next():  # noqa: ASYNC110 - an answer has no event.
                await anyio.sleep(0.2)
        endpoints = [
            StandInEndpoint(
                f"runner-{number}",
                f"127.0.{nodes.network + 2}.{number + 1}",
                "work",
                client,
                control_hosts,
                history,
                Random(seed + number),
                tasks,
            )
            for number in range(ENDPOINT_COUNT)
        ]
        for endpoint in endpoints:
            await endpoint.start()
        callers = [
            Caller(f"caller-{number}", control_hosts, history, Random(seed + number))
            for number in range(CALLER_COUNT)
        ]
        for caller in callers:
            tasks.start_soon(caller.run)
        watching = anyio.CancelScope()
        tasks.start_soon(_watch, operator, watching)
        faults = Faults(nodes, build, operator, callers, endpoints, random)
        tasks.start_soon(faults.restart_endpoints)
        await faults.run(duration_s)
        await anyio.sleep(RECOVERY_S)
        recovered_at = history.recovered_at = time.monotonic()
        stall_s = await _measure_stall(CALM_S)
        # A version acknowledged beside the last read would seem lost.
        watching.cancel()
        async with anyio.create_task_group() as reads:
            for host in control_hosts:
                reads.start_soon(operator.read_until_answered, host, FINAL_READ_TIMEOUT_S)
        history.ended = [name for name, each in nodes.processes.items() if each.poll() is not None]
        tasks.cancel_scope.cancel()
    late = [answer for answer in history.answers if answer.sent_at > recovered_at]
    not_served = Counter(
        answer.status if answer.is_whole else 0
        for answer in late
        if answer.status != httpx.codes.OK or not answer.is_whole
    )
    return Report(
        seed,
        len(history.answers),
        1.0 - not_served.total() / max(1, len(late)),
        stall_s,
        not_served,
        faults.injected,
        find_violations(history),
    )


async def _watch(operator: Operator, scope: anyio.CancelScope) -> None:
    """Put, read and probe until cancelled."""

    async def put() -> None:
        while True:
            await operator.put_next()
            await anyio.sleep(operator.random.uniform(0.0, 0.6))

    async def read() -> None:
        while True:
            await operator.read(operator.random.choice(operator.control_hosts))
            await anyio.sleep(operator.random.uniform(0.0, 0.4))

    async def probe() -> None:
        while True:
            await operator.probe_entries()
            await anyio.sleep(0.3)

    with scope:
        async with anyio.create_task_group() as tasks:
            for client in [put] * PUT_LANES + [read] * READERS + [probe]:
                tasks.start_soon(client)


async def _measure_stall(duration_s: float) -> float:
    """Return by how much the longest of many short sleeps was too long, in seconds."""
    longest_s, end = 0.0, time.monotonic() + duration_s
    while (began := time.monotonic()) < end:
        await anyio.sleep(STALL_PROBE_S)
        longest_s = max(longest_s, time.monotonic() - began - STALL_PROBE_S)
    return longest_s


def run_seed(seed: int, duration_s: float, logs: Path, build: Build) -> Report:
    """Run one seed with processes of its own; keep their logs if there is something to explain."""
    with tempfile.TemporaryDirectory() as folder, claim_network() as network:
        nodes = NodeProcesses(Path(folder), network)
        try:
            report = anyio.run(soak, seed, duration_s, nodes, build)
        finally:
            nodes.kill_all()
        if report.violations or report.served_share < KEPT_LOGS_SHARE:
            shutil.copytree(folder, logs / f"seed-{seed}", dirs_exist_ok=True)
    return report


def main() -> int:
    """Run the seeds and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="faults for so long")
    parser.add_argument("--tree", type=Path, default=ROOT, help="the source tree of the build")
    parser.add_argument("--logs", type=Path, default=Path("target/soak"))
    options = parser.parse_args()
    totals: Counter[str] = Counter()
    broken = 0
    print(f"{'seed':>6} {'requests':>9} {'faults':>7} {'served after':>13}  broken promises")
    for seed in range(options.seed, options.seed + options.seeds):
        report = run_seed(seed, options.seconds, options.logs, Build(options.tree.resolve()))
        totals += report.injected
        broken += bool(report.violations)
        print(
            f"{seed:>6} {report.requests:>9} {report.injected.total():>7}"
            f" {report.served_share:>13.3f}  {len(report.violations)}",
            flush=True,
        )
        if report.not_served:
            print(f"       the soak's own process stalled for {report.stall_s:.2f} s at most")
        for status, count in sorted(report.not_served.items()):
            print(f"       after recovery: {count} x status {status}", flush=True)
        for line in report.violations[:10]:
            print(f"       {line}", flush=True)
    for kind, count in sorted(totals.items()):
        print(f"{count:>6} x {kind}")
    print(f"{options.seeds} seeds, {broken} with a broken promise")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
