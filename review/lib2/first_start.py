"""The first start of a deployment, at which one seed loses its disk.

The rule is CONFIG: read back at the end, the configuration doesn't come. Exits with 1 if it doesn't
and no request was served in the whole play (Fault), 0 otherwise, 2 if the case could not be played.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import shutil
import subprocess
import sys
import time
from pathlib import Path

from deployment import CALLER_PORT, CONTROL_PORT, RUNNER_PORT, CannotRun, Deployment, call

CONTROL_COUNT, ENTRY_COUNT = 5, 2
LOST_SEED = 1
START_ORDER = (1, 3, 4, 0, 2)
"""The last seed starts within 0.3 s of the one that loses its disk, so that the group isn't founded yet."""

START_WINDOW_S = 0.25
BACK_AFTER_S = 1.0
PLAY_S = 30.0
READ_BACK_S = 5.0
HOST = "house.example"
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "status",
            "host": HOST,
            "pathPrefix": "/status/",
            "kind": "safe",
            "timeoutMs": 1500,
            "sloMs": 200,
            "service": "desk",
            "maxAttempts": 2,
        }
    ],
    "services": [{"name": "desk", "maxConns": 100}],
}


class FirstStart:
    """Plays the case."""

    def __init__(self) -> None:
        self.deployment = Deployment(CONTROL_COUNT, ENTRY_COUNT)
        self.record: list[str] = []
        self.began = time.monotonic()
        self.statuses: dict[str, dict[str, int]] = {"put": {}, "request": {}, "read back": {}}
        self.calls: list[str] = []
        self.acknowledged_at: float | None = None

    async def run(self) -> int:
        arrivals = Path(self.deployment.folder.name, "arrivals")
        runner = subprocess.Popen(
            ["python3", str(Path(__file__).with_name("runner.py")), self.deployment.runner_host(0)]
            + [str(RUNNER_PORT), "20", str(arrivals)]
        )
        try:
            return await self._play()
        finally:
            runner.kill()
            runner.wait()
            self.deployment.end_all()

    async def _play(self) -> int:
        self.began = time.monotonic()
        tasks: list[asyncio.Task[None]] = []
        for number in START_ORDER:
            self.deployment.start_control(number, is_first=True)
            if number == LOST_SEED and os.environ.get("TROUBLE") != "0":
                tasks.append(asyncio.create_task(self._lose_disk(LOST_SEED)))
            await asyncio.sleep(START_WINDOW_S / (CONTROL_COUNT - 1))
        for number in range(ENTRY_COUNT):
            self.deployment.start_entry(number)
        self._write("five control VMs and two entries started for the first time")
        plays = (self._operate(), self._send_requests(), self._send_heartbeats())
        tasks += [asyncio.create_task(each) for each in plays]
        await asyncio.sleep(max(0.0, self.began + PLAY_S - time.monotonic()))
        for task in tasks:
            task.cancel()
        return await self._read_back()

    async def _lose_disk(self, number: int) -> None:
        """Kill a seed as soon as it uses its disk, and start it again without it."""
        name = f"control-{number}"
        data = Path(self.deployment.folder.name, name)
        while not (data / "identity").exists():
            await asyncio.sleep(0.005)
            if time.monotonic() - self.began > 10.0:
                raise CannotRun("the control VM does not start")
        self.deployment.kill(name)
        self._write(f"{name} killed, its disk is lost")
        shutil.rmtree(data)
        await asyncio.sleep(BACK_AFTER_S)
        self.deployment.start_control(number)
        self._write(f"{name} started again with an empty disk and bootstrap set to false")

    def _count(self, what: str, answer: tuple[int, bytes] | None) -> None:
        status = "none" if answer is None else str(answer[0])
        self.statuses[what][status] = self.statuses[what].get(status, 0) + 1
        self.calls.append(f"{time.monotonic() - self.began:7.3f} {what} sent, answered {status}")

    async def _operate(self) -> None:
        """Send the first configuration to one node after the other until it is accepted."""
        body = json.dumps(CONFIGURATION).encode()
        attempt = 0
        while self.acknowledged_at is None:
            host = self.deployment.control_host(attempt % CONTROL_COUNT)
            answer = await call(host, CONTROL_PORT, "POST", "/bergamotchute/config/put", body=body)
            self._count("put", answer)
            if answer is not None and answer[0] == 200:
                self.acknowledged_at = time.monotonic() - self.began
                self._write("the configuration is acknowledged")
            attempt += 1
            await asyncio.sleep(0.2)

    async def _send_heartbeats(self) -> None:
        sequence, born_ms = 0, int(time.time() * 1000)
        while True:
            sequence += 1
            body = {
                "service": "desk",
                "address": f"{self.deployment.runner_host(0)}:{RUNNER_PORT}",
                "zone": "kl-a",
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": sequence,
                "born": born_ms,
            }
            host = self.deployment.control_host(sequence % CONTROL_COUNT)
            path = "/bergamotchute/instances/i-1/heartbeat"
            await call(host, CONTROL_PORT, "POST", path, body=json.dumps(body).encode())
            await asyncio.sleep(1.2)

    async def _send_requests(self) -> None:
        number = 0
        while True:
            number += 1
            headers = (
                ("Host", HOST),
                ("Bergamotchute-Request-Id", f"q-{number}"),
                ("Bergamotchute-Deadline-Remaining", "1500"),
            )
            host = self.deployment.entry_host(number % ENTRY_COUNT)
            answer = await call(host, CALLER_PORT, "GET", "/status/x", headers, timeout_s=1.5)
            self._count("request", answer)
            await asyncio.sleep(0.25)

    async def _read_back(self) -> int:
        """Ask all nodes for the configuration for a while, as at the end of a day."""
        self._write("the operator reads back")
        ends_at = time.monotonic() + READ_BACK_S
        came = False
        while time.monotonic() < ends_at:
            for number in range(CONTROL_COUNT):
                host = self.deployment.control_host(number)
                answer = await call(host, CONTROL_PORT, "GET", "/bergamotchute/config/get")
                self._count("read back", answer)
                came = came or (answer is not None and answer[0] == 200)
            await asyncio.sleep(0.2)
        running = [name for name, each in self.deployment.processes.items() if each.poll() is None]
        for what, counts in self.statuses.items():
            self._write(f"{what}, answers by status: {counts}")
        self._write(f"processes that run: {', '.join(sorted(running))}")
        self.record += self.calls
        for line in Path(self.deployment.folder.name, "arrivals").read_text().splitlines():
            run = json.loads(line)
            if "request" in run:
                at = run["arrived_at"] - self.began
                self.record.append(f"{at:7.3f} the runner runs {run['request']}")
        if len(running) != CONTROL_COUNT + ENTRY_COUNT:
            raise CannotRun("a process has ended by itself")
        is_served = "200" in self.statuses["request"]
        if came or is_served:
            self._write(
                f"the rule holds: configuration read back {came}, requests served {is_served}"
            )
            return 0
        self._write("CONFIG is broken: the configuration doesn't come, and no request is served")
        return 1

    def _write(self, line: str) -> None:
        line = f"{time.monotonic() - self.began:7.3f} {line}"
        self.record.append(line)
        print(line)


def main() -> int:
    """Play the case once and write the record of it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("record", type=Path)
    options = parser.parse_args()
    case = None
    try:
        case = FirstStart()
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
    sys.exit(main())
