"""A cold runner while the control VM that shares out its rate is killed.

The rule is FAILBACK: a cold runner gets at most ``coldPerS`` x ``coldExcess`` + ``coldSlack`` requests
in any second, from all machines together. Exits with 1 if it gets more, 0 if not, 2 if the case
could not be played.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import subprocess
import sys
import time
from pathlib import Path

from deployment import (
    CALLER_PORT,
    CONTROL_PORT,
    LINK_PORT,
    READY_PORT,
    RUNNER_PORT,
    CannotRun,
    Deployment,
    call,
    put_configuration,
)

COLD_PER_S, COLD_EXCESS, COLD_SLACK = 26, 1.5, 5
BOUND = int(COLD_PER_S * COLD_EXCESS + COLD_SLACK)
COLD_S = 3.0
WORK_MS = 20
RESTART_DELAY_S = 0.5
TRAFFIC_S = 4.0
MAX_OWN_DELAY_S = 0.25
MAX_PASSAGE_S = 0.05
"""Longest time from the sending of a request on loopback to its arrival at the runner."""

HOST = "house.example"
CONTROL_COUNT, ENTRY_COUNT = 5, 4


def runner_hosted_by(deployment: Deployment, number: int) -> str:
    """Return an id of a runner whose rate the given control VM shares out."""
    sys.path.append(str(Path(__file__).resolve().parents[2] / "target" / "deps"))
    from xxhash import xxh3_64_intdigest

    hosts = [f"{deployment.control_host(each)}:{LINK_PORT}" for each in range(CONTROL_COUNT)]
    for candidate in range(1000):
        name = f"i-{candidate:04x}"
        first = min(hosts, key=lambda host: xxh3_64_intdigest(f"{name} {host}".encode()))
        if first == hosts[number]:
            return name
    raise CannotRun("no such runner id")


class ColdRunner:
    """Plays the case."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.deployment = Deployment(CONTROL_COUNT, ENTRY_COUNT)
        self.reachable = list(range(CONTROL_COUNT))
        self.cold_since = float("inf")
        self.cold_until = 0.0
        self.beat_sent = asyncio.Event()
        self.beat_now = asyncio.Event()
        self.born_ms = int(time.time() * 1000)
        self.record: list[str] = []
        self.answers: list[tuple[str, float, float, int]] = []
        self.own_delays: list[float] = []
        self.entry_gaps: dict[int, float] = {}

    async def run(self) -> int:
        arrivals = Path(self.deployment.folder.name, "arrivals")
        host = self.deployment.runner_host(0)
        runner = subprocess.Popen(
            ["python3", str(Path(__file__).with_name("runner.py")), host, str(RUNNER_PORT)]
            + [str(WORK_MS), str(arrivals)]
        )
        try:
            self.deployment.start_all()
            return await self._play(arrivals)
        finally:
            runner.kill()
            runner.wait()
            self.deployment.end_all()

    async def _play(self, arrivals: Path) -> int:
        await put_configuration(
            self.deployment,
            {
                "version": 1,
                "routes": [
                    {
                        "name": "batch",
                        "host": HOST,
                        "pathPrefix": "/batch/",
                        "kind": "unsafe",
                        "timeoutMs": 8000,
                        "sloMs": self.options.slo_ms,
                        "service": "ledger",
                        "maxAttempts": 1,
                    }
                ],
                "services": [
                    {"name": "ledger", "maxConns": 500, "coldS": 3, "coldPerS": COLD_PER_S}
                ],
            },
        )
        killed = CONTROL_COUNT - 1
        name = runner_hosted_by(self.deployment, killed)
        tasks = [asyncio.create_task(self._send_heartbeats(name))]
        tasks.append(asyncio.create_task(self._watch_own_loop()))
        await self._wait_until_served()
        began = await self.begin(name)
        for number in range(ENTRY_COUNT):
            tasks.append(asyncio.create_task(self._watch_entry(number, began)))
        if os.environ.get("TROUBLE") != "0":
            tasks.append(asyncio.create_task(self.disturb(killed, began)))
        await self._send_traffic(began)
        for task in tasks:
            task.cancel()
        return self._judge(arrivals, began)

    async def begin(self, name: str) -> float:
        """Let the runner be cold and say so; return when the traffic begins."""
        self.cold_since = time.monotonic()
        self.cold_until = self.cold_since + COLD_S
        self.beat_now.set()
        self.write(f"runner {name} is cold for {COLD_S} s from 0.000 on, bound {BOUND}")
        return self.cold_since

    async def _send_heartbeats(self, name: str) -> None:
        sequence = 0
        while True:
            sequence += 1
            body = {
                "service": "ledger",
                "address": f"{self.deployment.runner_host(0)}:{RUNNER_PORT}",
                "zone": "kl-a",
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "coldLeftMs": max(0, int(1000 * (self.cold_until - time.monotonic()))),
                "seq": sequence,
                "born": self.born_ms,
            }
            host = self.deployment.control_host(random.choice(self.reachable))
            path = f"/bergamotchute/instances/{name}/heartbeat"
            await call(host, CONTROL_PORT, "POST", path, body=json.dumps(body).encode())
            self.beat_sent.set()
            try:
                await asyncio.wait_for(self.beat_now.wait(), 1.2)
                self.beat_now.clear()
            except TimeoutError:
                pass

    async def _watch_own_loop(self) -> None:
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.01)
            self.own_delays.append(time.monotonic() - began - 0.01)

    async def _watch_entry(self, number: int, began: float) -> None:
        """Record the longest time for which an entry doesn't answer the readiness check."""
        host, last = self.deployment.entry_host(number), time.monotonic()
        while True:
            answer = await call(host, READY_PORT, "GET", "/bergamotchute/ready", timeout_s=5.0)
            now = time.monotonic()
            if answer is not None:
                self.entry_gaps[number] = max(self.entry_gaps.get(number, 0.0), now - last)
                last = now
            await asyncio.sleep(0.05)

    async def _wait_until_served(self) -> None:
        served: set[int] = set()
        for attempt in range(200):
            number = attempt % ENTRY_COUNT
            answer = await self._ask(number, f"first-{attempt}")
            if answer is not None and answer[0] == 200:
                served.add(number)
            if len(served) == ENTRY_COUNT:
                await asyncio.sleep(3.0)
                self.own_delays.clear()
                return
            await asyncio.sleep(0.1)
        raise CannotRun("requests are not served")

    async def _ask(self, entry: int, request: str) -> tuple[int, bytes] | None:
        headers = (
            ("Host", HOST),
            ("Bergamotchute-Request-Id", request),
            ("Bergamotchute-Deadline-Remaining", "8000"),
        )
        host = self.deployment.entry_host(entry)
        return await call(host, CALLER_PORT, "POST", "/batch/x", headers, b"{}", timeout_s=8.5)

    async def disturb(self, number: int, began: float) -> None:
        """Kill a control VM and start it again."""
        await asyncio.sleep(self.options.kill_at_s)
        self.reachable.remove(number)
        self.deployment.kill(f"control-{number}")
        self.write(f"{time.monotonic() - began:7.3f} control-{number} killed")
        await asyncio.sleep(RESTART_DELAY_S)
        self.deployment.start_control(number)
        self.write(f"{time.monotonic() - began:7.3f} control-{number} started again")

    async def _send_traffic(self, began: float) -> None:
        requests: list[asyncio.Task[None]] = []
        count = int(TRAFFIC_S * self.options.per_s)
        for number in range(count):
            await asyncio.sleep(max(0.0, began + number / self.options.per_s - time.monotonic()))
            requests.append(asyncio.create_task(self._send_one(number, began)))
        await asyncio.gather(*requests)

    async def _send_one(self, number: int, began: float) -> None:
        sent_at = time.monotonic() - began
        answer = await self._ask(number % ENTRY_COUNT, f"q-{number}")
        status = 0 if answer is None else answer[0]
        self.answers.append((f"q-{number}", sent_at, time.monotonic() - began, status))

    def write(self, line: str) -> None:
        self.record.append(line)
        print(line)

    def _judge(self, arrivals: Path, began: float) -> int:
        found = [json.loads(line) for line in arrivals.read_text().splitlines()]
        delays = [each["own_delay_s"] for each in found if each.get("at", 0.0) > began - 0.5]
        cold_left_s = self.cold_until - began
        runs = sorted(
            (each["arrived_at"] - began, each["request"]) for each in found if "request" in each
        )
        times = [at for at, _ in runs if self.cold_since - began <= at < cold_left_s]
        own_delay_s = max([*delays, *self.own_delays], default=0.0)
        # Only requests that were sent inside the second count: what arrived at its very beginning, or
        # was read late by the stand-in, may have been sent before it.
        counted_s = 1.0 - MAX_PASSAGE_S - own_delay_s
        most, since = max(
            ((sum(first <= at < first + counted_s for at in times), first) for first in times),
            default=(0, 0.0),
        )
        for request, sent_at, answered_at, status in sorted(self.answers, key=lambda each: each[1]):
            self.record.append(
                f"{sent_at:7.3f} sent {request}; {answered_at:7.3f} answered {status}"
            )
        for at, request in runs:
            if at > -0.5:
                self.record.append(f"{at:7.3f} runs {request}")
        quarters = [
            sum(q / 4 <= at < (q + 1) / 4 for at in times) for q in range(int(cold_left_s * 4))
        ]
        self.write(f"arrivals at the cold runner by quarter of a second: {quarters}")
        gaps = {f"entry-{number}": round(gap, 2) for number, gap in self.entry_gaps.items()}
        self.write(f"longest time without an answer to the readiness check, s: {gaps}")
        statuses = [status for *_, status in self.answers]
        counts = {status: statuses.count(status) for status in sorted(set(statuses))}
        self.write(f"answers by status (0: none): {counts}")
        self.write(
            f"most requests sent and arrived in one second while cold: {most}, from {since:.3f};"
            f" bound {BOUND}; counted over {counted_s:.2f} s"
        )
        if own_delay_s > MAX_OWN_DELAY_S:
            raise CannotRun(f"a stand-in was late by {own_delay_s:.2f} s")
        if not runs:
            raise CannotRun("the runner got nothing")
        verdict = "FAILBACK is broken" if most > BOUND else "FAILBACK holds"
        self.write(verdict)
        return 1 if most > BOUND else 0


def main(kind: type[ColdRunner]) -> int:
    """Play a case once and write the record of it."""
    parser = argparse.ArgumentParser()
    parser.add_argument("record", type=Path)
    parser.add_argument("--slo-ms", type=int, default=400)
    parser.add_argument("--per-s", type=float, required=True)
    parser.add_argument("--kill-at-s", type=float, default=0.0)
    options = parser.parse_args()
    case = None
    try:
        case = kind(options)
        return asyncio.run(case.run())
    except CannotRun as error:
        print(f"could not run: {error}")
        if case is not None:
            case.record.append(f"could not run: {error}")
        return 2
    finally:
        if case is not None:
            options.record.write_text("\n".join(case.record) + "\n")


if __name__ == "__main__":
    sys.exit(main(ColdRunner))
