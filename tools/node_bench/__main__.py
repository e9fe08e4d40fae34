"""Processor time of real processes on loopback: ``python -m tools.node_bench [--profile ROLE ...]``.

Three control VMs, some entries and agents serve stand-in endpoints and callers. Without ``--profile``
it prints the processor time of each role; with it, the dearest functions of the roles. ``--imports``
measures the imports of each role instead.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import pstats
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from random import Random

from tools.node_bench.agents import run_agent
from tools.node_bench.endpoints import BenchEndpoint, RankGroup, post
from tools.node_processes import (
    CALLER_PORT,
    CONTROL_PORT,
    ROOT,
    Build,
    NodeProcesses,
    claim_network,
)

CONTROL_COUNT = 3
WARM_UP_S = 5.0
START_TIMEOUT_S = 40.0
IMPORT_RUNS = 7
TICKS_PER_S = os.sysconf("SC_CLK_TCK")

IMPORTS_BY_ROLE = {
    "entry": ("ready_calls", "request_format", "direct.direct_entry", "direct.slot_reservations"),
    "control": ("control_calls", "control_process", "evacuations.evacuation_orders"),
    "agent": ("configuration_format", "rank_calls", "ranks.rank_agent_process"),
}
"""The modules that a role imports besides those of the program, of the adapter or the daemon."""

REPORT_IMPORTS = (
    "import resource; usage = resource.getrusage(resource.RUSAGE_SELF);"
    "print(usage.ru_utime + usage.ru_stime)"
)


def configuration(group: RankGroup) -> bytes:
    """Return a configuration with one service of engines and a route of streams."""
    engine = {
        "slots": 5,
        "kvCapacityTokens": 116_666,
        "step_ms": 4.55,
        "per_seq_ms": 2.18,
        "context_per_k": 0.0,
        "read_per_s": 61_000,
        "usual": {"prompt": 700, "answer": 95},
        "sets": group.sets,
        "experts": group.experts,
        "placements": group.places,
        "spare": 2,
        "expertShare": 0.5,
        "expertMb": 1.0,
        "linkMbps": 1000.0,
    }
    route = {
        "name": "stream",
        "host": "bench.example",
        "pathPrefix": "/stream/",
        "kind": "stream",
        "timeoutMs": 8000,
        "sloMs": 500,
        "priority": 1,
        "service": "work",
        "maxAttempts": 2,
        "noAuth": True,
        "resumable": True,
        "gapTargetMs": 150,
    }
    services = [{"name": "work", "maxConns": 100, "engine": engine}]
    return json.dumps({"version": 1, "routes": [route], "services": services}).encode()


async def call_entry(host: str, requests_per_s: float, random: Random, statuses: list[int]) -> None:
    """Send streams to an entry at random times until cancelled."""
    async with asyncio.TaskGroup() as tasks:

        async def send(number: int) -> None:
            headers = f"bergamotchute-request-id: {host}-{number}\r\n"
            path = f"/stream/{number}"
            statuses.append(await post(host, CALLER_PORT, path, b"{}" * 1_000, headers))

        number = 0
        while True:
            await asyncio.sleep(random.expovariate(requests_per_s))
            number += 1
            tasks.create_task(send(number))


async def wait_until_serving(host: str) -> None:
    """Send streams to an entry until one is served."""
    deadline = time.monotonic() + START_TIMEOUT_S
    number = 0
    headers = "bergamotchute-request-id: first-{}\r\n"
    while await post(host, CALLER_PORT, "/stream/first", b"{}", headers.format(number)) != 200:
        if time.monotonic() > deadline:
            raise TimeoutError(f"the entry {host} serves no stream")
        await asyncio.sleep(0.2)
        number += 1


def processor_s(pid: int) -> float:
    """Return the processor time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def play(nodes: NodeProcesses, build: Build, options: argparse.Namespace) -> None:
    """Start the processes, send requests, and print the processor time of each role."""
    random = Random(options.seed)
    controls = [nodes.control_host(number) for number in range(CONTROL_COUNT)]
    for number in range(CONTROL_COUNT):
        nodes.start_control(number, build, found=True)
    group = RankGroup("group", options.agents, options.sets, options.experts, random)
    endpoints = [
        BenchEndpoint(
            number,
            nodes.endpoint_host(number),
            controls,
            Random(number),
            group if number < options.agents else None,
        )
        for number in range(options.endpoints)
    ]
    statuses: list[int] = []
    async with asyncio.TaskGroup() as tasks:
        running = [tasks.create_task(group.run())]
        running += [tasks.create_task(endpoint.run()) for endpoint in endpoints]
        deadline = time.monotonic() + START_TIMEOUT_S
        put = "/bergamotchute/config/put"
        while await post(controls[0], CONTROL_PORT, put, configuration(group)) != 200:
            if time.monotonic() > deadline:
                raise TimeoutError("no control VM took the configuration")
            await asyncio.sleep(0.2)
        for number in range(options.entries):
            nodes.start_entry(number, build)
        for number in range(options.agents):
            nodes.start_agent(number, build)
        running += [
            tasks.create_task(run_agent(each, random)) for each in endpoints[options.agents :]
        ]
        running += [
            tasks.create_task(
                call_entry(nodes.entry_host(number), options.requests, random, statuses)
            )
            for number in range(options.entries)
        ]
        for number in range(options.entries):
            await wait_until_serving(nodes.entry_host(number))
        await asyncio.sleep(WARM_UP_S)
        statuses.clear()
        before = {name: processor_s(each.pid) for name, each in nodes.processes.items()}
        began = time.monotonic()
        await asyncio.sleep(options.seconds)
        took_s = time.monotonic() - began
        spent = {
            name: 100 * (processor_s(each.pid) - before[name]) / took_s
            for name, each in nodes.processes.items()
        }
        by_status = ", ".join(f"{count} x {status}" for status, count in Counter(statuses).items())
        for name in list(nodes.processes):
            nodes.processes[name].terminate()
        for name in list(nodes.processes):
            with suppress(subprocess.TimeoutExpired):
                await asyncio.to_thread(nodes.processes[name].wait, 15.0)
        for task in running:
            task.cancel()
    print(f"streams by status: {by_status}; load of the machine {os.getloadavg()[0]:.1f}")
    print(f"{'process':<12} % of a core")
    for name, percent in sorted(spent.items()):
        print(f"{name:<12} {percent:6.2f}")
    for role in ("entry", "control", "agent"):
        of_role = [percent for name, percent in spent.items() if name.startswith(role)]
        print(f"mean {role:<7} {statistics.mean(of_role):6.2f}")


def print_profiles(folder: Path, functions: int) -> None:
    """Print the dearest functions of each profiled role."""
    for role in ("entry", "control", "agent"):
        files = sorted(folder.glob(f"{role}-*.prof"))
        if files:
            print(f"\n{role}: own time of functions in {len(files)} processes")
            stats = pstats.Stats(*map(str, files))
            stats.sort_stats("tottime").print_stats(functions)
            stats.sort_stats("cumulative").print_stats(functions)


def print_imports(build: Build) -> None:
    """Print the processor time until a role has imported its modules, compiled before."""
    for role, modules in IMPORTS_BY_ROLE.items():
        names = [
            (
                f"bergamotchute_platform.{module}"
                if "_calls" in module or "_format" in module
                # The modules of the daemon.
                else f"bergamotchute_daemon.{module}"
            )
            for module in modules
        ]
        code = f"import bergamotchute_platform.__main__, {', '.join(names)}, uvloop; "
        spent = [
            float(
                subprocess.run(
                    [sys.executable, "-c", code + REPORT_IMPORTS],
                    env={**os.environ, "PYTHONPATH": build.python_path},
                    capture_output=True,
                    check=True,
                ).stdout
            )
            for _ in range(IMPORT_RUNS + 1)
        ][1:]
        median, least = statistics.median(spent), min(spent)
        print(f"{role:<8} imports: median {median:.3f} s, least {least:.3f} s", flush=True)


def measure(build: Build, options: argparse.Namespace) -> None:
    """Start the processes and print what they cost."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    with tempfile.TemporaryDirectory() as folder, claim_network() as network:
        nodes = NodeProcesses(Path(folder), network, options.profile)
        try:
            asyncio.run(play(nodes, build, options))
        finally:
            nodes.kill_all()
        print_profiles(Path(folder), options.functions)


def main() -> None:
    """Run the measurement that the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--imports", action="store_true")
    parser.add_argument("--profile", nargs="*", default=(), metavar="ROLE")
    parser.add_argument("--functions", type=int, default=25, help="lines of each profile")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--agents", type=int, default=4, help="ranks, each with a real agent")
    parser.add_argument("--endpoints", type=int, default=36, help="with the ranks")
    parser.add_argument("--requests", type=float, default=7.0, help="a second to each entry")
    parser.add_argument("--sets", type=int, default=16)
    parser.add_argument("--experts", type=int, default=96)
    parser.add_argument("--tree", type=Path, default=ROOT, help="the source tree of the build")
    options = parser.parse_args()
    build = Build(options.tree.resolve())
    with tempfile.TemporaryDirectory() as compiled:
        os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
        os.environ["PYTHONPYCACHEPREFIX"] = compiled
        if options.imports:
            print_imports(build)
        else:
            measure(build, options)


if __name__ == "__main__":
    main()
