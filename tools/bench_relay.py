"""What a stream costs on its way: ``python -m tools.bench_relay``.

Streams run from a fake engine through (a) one bare hypercorn and httpx relay and (b) an entry and
an agent, on each event loop, all in one run on this machine. Processor time is what the kernel
accounts to each process; memory is its resident set with the streams open. Raw figures go to
``docs/data/bench_relay.json``.
"""

from __future__ import annotations

import argparse
import json
import os
import tempfile
from dataclasses import asdict, dataclass, replace
from pathlib import Path

import anyio
import httpx

from tools.bench_files import TEAM_TOKEN, put_files
from tools.deployment import Deployment, EndpointPlan
from tools.fleet import LOOPBACK, ROOT, Fleet, free_ports

OUTPUT = ROOT / "docs" / "data" / "bench_relay.json"
STREAM_COUNTS = (10, 100, 300)
TOKENS = 150
TOKENS_PER_S = 25.0
ENGINES = 3
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
READY_S = 20.0


@dataclass(frozen=True)
class Sample:
    """One process while a number of streams ran.

    :param cpu_us_per_token: processor time over all tokens that passed.
    :param rss_bytes: resident memory with the streams open.
    """

    way: str
    process: str
    streams: int
    tokens: int
    cpu_s: float
    cpu_us_per_token: float
    rss_bytes: int


@dataclass(frozen=True)
class Usage:
    """What a process has used so far."""

    cpu_s: float
    rss_bytes: int


def usage(pid: int) -> Usage:
    """Read what the kernel accounts to a process."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return Usage(cpu_s, int(fields[21]) * PAGE_BYTES)


async def run_streams(url: str, count: int, headers: dict[str, str], peak: anyio.Event) -> int:
    """Run streams side by side; return how many tokens came."""
    tokens = 0
    first = 0
    limits = httpx.Limits(max_connections=None)
    body = {"model": "drafts", "stream": True, "max_tokens": TOKENS}

    async def stream(client: httpx.AsyncClient, number: int) -> None:
        nonlocal tokens, first
        fields = body | {"messages": [{"role": "user", "content": f"stream {number}"}]}
        async with client.stream("POST", url, json=fields, headers=headers) as answer:
            assert answer.status_code == 200, await answer.aread()
            begun = False
            async for line in answer.aiter_lines():
                tokens += line.startswith("data: {")
                if not begun and tokens:
                    begun = True
                    first += 1
                    if first == count:
                        peak.set()

    async with (
        httpx.AsyncClient(limits=limits, timeout=120, trust_env=False) as client,
        anyio.create_task_group() as tasks,
    ):
        for number in range(count):
            tasks.start_soon(stream, client, number)
    return tokens


async def measure(
    way: str, url: str, count: int, pids: dict[str, int], headers: dict[str, str]
) -> list[Sample]:
    """Run streams one way and return what each process used for them."""
    before = {name: usage(pid) for name, pid in pids.items()}
    peak = anyio.Event()
    held: dict[str, Usage] = {}

    async def watch() -> None:
        await peak.wait()
        await anyio.sleep(1.0)
        held.update({name: usage(pid) for name, pid in pids.items()})

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        tokens = await run_streams(url, count, headers, peak)
        tasks.cancel_scope.cancel()
    samples: list[Sample] = []
    for name, pid in pids.items():
        spent = usage(pid).cpu_s - before[name].cpu_s
        rss = held.get(name, usage(pid)).rss_bytes
        samples.append(Sample(way, name, count, tokens, spent, spent / tokens * 1e6, rss))
    return samples


def plan(fleet: Fleet, folder: Path, slots: int) -> Deployment:
    """Lay out one entry with a voter and a few engines."""
    deployment = Deployment(fleet, folder)
    deployment.plan(("zone-a",), 1, 0, [EndpointPlan("drafts", ("drafts",), ENGINES)])
    for index, endpoint in enumerate(deployment.endpoints):
        wide = replace(endpoint, slots=slots, tokens_per_s=TOKENS_PER_S)
        deployment.endpoints[index] = wide
    return deployment


async def wait_ready(address: str, bound_s: float = READY_S) -> None:
    """Wait until an entry says that callers may come."""
    async with httpx.AsyncClient(trust_env=False) as client:
        with anyio.fail_after(bound_s):
            while True:
                try:
                    if (await client.get(f"http://{address}/readyz")).status_code == 200:
                        return
                except httpx.HTTPError:
                    pass
                await anyio.sleep(0.1)


async def run_loop(event_loop: str, counts: tuple[int, ...]) -> list[Sample]:
    """Measure the entry and its agents on one event loop, and the bare relay beside them."""
    os.environ["BERGAMOTCHUTE_EVENT_LOOP"] = event_loop
    samples: list[Sample] = []
    with tempfile.TemporaryDirectory() as name, Fleet(Path(name)) as fleet:
        deployment = plan(fleet, Path(name), max(counts))
        deployment.start_all()
        [port] = free_ports(1)
        engine = f"http://{LOOPBACK}:{deployment.endpoints[0].port}"
        bind = f"{LOOPBACK}:{port}"
        fleet.start("bare", ["module:tools.fakes.bare_relay", "--bind", bind, "--to", engine])
        entry = deployment.entries[0]
        await wait_ready(entry.address)
        await put_files(entry.address, deployment.admin_token, "drafts")
        await anyio.sleep(3.0)
        agents = [endpoint.agent_name for endpoint in deployment.endpoints]
        pids = {one: fleet.processes[one].process.pid for one in ["entry-1", *agents]}
        bare = {"bare": fleet.processes["bare"].process.pid}
        headers = {"authorization": f"Bearer {TEAM_TOKEN}"}
        path = "/v1/chat/completions"
        for count in counts:
            samples += await measure("bare", f"http://{bind}{path}", count, bare, {})
            url = f"http://{entry.address}{path}"
            samples += await measure(event_loop, url, count, pids, headers)
    return samples


def report(samples: list[Sample]) -> str:
    """Return the table: processor time a token by way and streams, with its ratio to bare."""
    lines = ["way      streams  entry us/token  agents us/token  sum  ratio to bare  entry MB"]
    ways = sorted({sample.way for sample in samples} - {"bare"})
    for way in ways:
        for count in sorted({sample.streams for sample in samples}):
            lines.append(_row(samples, way, count))
    return "\n".join(lines)


def _row(samples: list[Sample], way: str, count: int) -> str:
    chosen = [sample for sample in samples if sample.way == way and sample.streams == count]
    bare = [s.cpu_us_per_token for s in samples if s.way == "bare" and s.streams == count]
    entry = next(sample for sample in chosen if sample.process == "entry-1")
    agents = sum(sample.cpu_us_per_token for sample in chosen if sample is not entry)
    total = entry.cpu_us_per_token + agents
    ratio = total / (sum(bare) / len(bare))
    return (
        f"{way:8} {count:7}  {entry.cpu_us_per_token:14.1f}  {agents:15.1f}  {total:5.1f}"
        f"  {ratio:13.2f}  {entry.rss_bytes / 1e6:8.1f}"
    )


async def run(counts: tuple[int, ...], loops: tuple[str, ...]) -> list[Sample]:
    """Measure every loop, one after the other."""
    samples: list[Sample] = []
    for event_loop in loops:
        samples += await run_loop(event_loop, counts)
    return samples


def main() -> None:
    """Measure, print the table and write the raw figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", default=",".join(map(str, STREAM_COUNTS)))
    parser.add_argument("--loops", default="asyncio,trio")
    parser.add_argument("--write", action="store_true", help="write the raw figures")
    values = parser.parse_args()
    counts = tuple(int(part) for part in values.streams.split(","))
    samples = anyio.run(run, counts, tuple(values.loops.split(",")))
    print(report(samples))
    if values.write:
        OUTPUT.parent.mkdir(parents=True, exist_ok=True)
        text = json.dumps({"samples": [asdict(sample) for sample in samples]}, indent=1)
        OUTPUT.write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
