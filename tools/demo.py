"""The whole system on loopback, from real processes: ``make demo``.

Starts three entries with control voters in three availability zones, two more entries without
disk, agents with fake engines and a fake order service; applies the operator files of both
examples; drafts, orders, drains and loses its leading control VM; checks each outcome against what
the endpoints' own journals say; and leaves no process behind.
"""

from __future__ import annotations

import json
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import httpx

from tools.demo_files import DemoFiles, DemoTeam
from tools.deployment import ADMIN_TOKEN_FILE, Deployment, EntryVm
from tools.fakes.engine import answer_text
from tools.fleet import ROOT, Fleet

FOLDER = ROOT / "out" / "demo"
ZONES = ("milano-a", "bergamo-b", "brescia-c")
READY_S = 20.0
IN_FORCE_S = 17.0
LEAVING_S = 5.0
RECOVERY_S = 15.0
LONG_TOKENS = 240
TIMELINE_LINES = 12
CLI = str(Path(sys.executable).parent / "bergamotchute")


class DemoFailed(Exception):
    """A step couldn't be done, so the rest makes no sense."""


class NotYet(Exception):
    """A step couldn't be done now, and may be later."""


@dataclass
class Demo:
    """One run of the demo.

    :param checks: what was checked, and whether it held.
    """

    deployment: Deployment
    files: DemoFiles
    client: httpx.AsyncClient
    checks: list[tuple[str, bool]] = field(default_factory=list)
    started_s: float = field(default_factory=time.monotonic)

    def say(self, text: str) -> None:
        """Tell what happens."""
        print(f"[{time.monotonic() - self.started_s:5.1f} s] {text}", flush=True)

    def check(self, text: str, held: bool) -> None:
        """Record a check."""
        self.checks.append((text, held))
        self.say(f"   {'ok  ' if held else 'FAIL'} {text}")

    async def until(self, what: str, bound_s: float, probe: Callable[[], Any]) -> Any:
        """Return the first true value of ``probe``.

        :raises DemoFailed: when there is none in time.
        """
        with anyio.move_on_after(bound_s):
            while True:
                try:
                    value = await probe()
                except (httpx.HTTPError, NotYet):
                    value = None
                if value:
                    return value
                await anyio.sleep(0.1)
        raise DemoFailed(f"not in {bound_s:.0f} s: {what}")

    async def run(self) -> None:
        """Do every step."""
        await self.start()
        await self.apply_examples()
        await self.draft()
        await self.order()
        await self.drain_during_a_stream()
        await self.lose_the_leader()
        await self.ask_live()
        await self.stop()

    async def start(self) -> None:
        """Start all processes and wait until entries take work."""
        self.say("starting 3 entries with control voters in 3 zones, 2 without disk, and agents")
        self.deployment.start_all()
        for entry in self.deployment.entries:
            await self.answers(entry, "/healthz")
        self.say("all entries answer")

    async def answers(self, entry: EntryVm, path: str) -> None:
        """Wait until an entry answers 200."""

        async def is_ok() -> bool:
            response = await self.client.get(f"http://{entry.address}{path}")
            return response.status_code == 200

        await self.until(f"{entry.name} answers {path}", READY_S, is_ok)

    async def apply_examples(self) -> None:
        """Apply the files of both examples and wait until they are in force everywhere."""
        for name, text in self.files.texts():
            self.say(f"applying {name} through {self.deployment.entries[0].name}")
            revision = await self.apply(name, text)
        began = time.monotonic()
        await self.in_force_everywhere(revision)
        spent_s = time.monotonic() - began
        self.check(f"in force in all 5 entries after {spent_s:.1f} s", spent_s < IN_FORCE_S)
        for entry in self.deployment.entries:
            await self.answers(entry, "/readyz")

    async def apply(self, name: str, text: str) -> int:
        """Apply a file; return the revision at which it came into force."""

        async def put() -> int:
            for entry in self.deployment.entries:
                if not self.deployment.fleet.processes[entry.name].running:
                    continue
                response = await self.client.put(
                    f"http://{entry.address}/v1/admin/files/{name}",
                    content=text.encode(),
                    headers=self.admin(),
                )
                if response.status_code == 200:
                    return int(response.json()["revision"])
                if response.status_code in (409, 422):
                    raise DemoFailed(f"{name} was refused: {response.text}")
            raise NotYet(response.text)

        found = await self.until(f"{name} accepted", RECOVERY_S, put)
        return int(found)

    def admin(self) -> dict[str, str]:
        """Return the operators' headers."""
        return {"authorization": f"Bearer {self.deployment.admin_token}"}

    async def in_force_everywhere(self, revision: int) -> None:
        """Wait until every running entry uses ``revision``."""

        async def reached() -> bool:
            for entry in self.deployment.entries:
                if self.deployment.fleet.processes[entry.name].running:
                    url = f"http://{entry.address}/v1/admin/status"
                    status = (await self.client.get(url, headers=self.admin())).json()
                    if status["revision"] < revision or not status["view_confirmed"]:
                        return False
            return True

        await self.until(f"revision {revision} everywhere", IN_FORCE_S, reached)

    async def addresses(self, entry: str) -> list[str]:
        """Ask as a caller does where to connect."""
        url = f"http://{self.deployment.entry(entry).address}/v1/addresses?zone={ZONES[0]}"
        found: list[str] = (await self.client.get(url)).json()["addresses"]
        return found

    async def draft(self) -> None:
        """Ask for addresses and stream a draft."""
        found = await self.addresses("entry-4")
        known = {entry.address for entry in self.deployment.entries}
        self.check(
            f"a caller is told {len(found)} entries to use: {', '.join(found)}",
            bool(found) and set(found) <= known,
        )
        team = self.files.drafting
        self.say(f"team {team.name} streams a draft through {found[0]}")
        text = await self.stream(found[0], team, "Hymn and readings for Ada", 24)
        expected = answer_text("Hymn and readings for Ada", 24)
        self.say(f"   {text[:70].strip()} ...")
        self.check("the draft is whole, each token once and in order", text == expected)

    async def stream(self, address: str, team: DemoTeam, prompt: str, tokens: int) -> str:
        """Return the text of a streamed draft."""
        return "".join([text async for text in self.tokens(address, team, prompt, tokens)])

    async def tokens(
        self, address: str, team: DemoTeam, prompt: str, tokens: int
    ) -> AsyncIterator[str]:
        """Yield the tokens of a streamed draft as they come."""
        body = {
            "model": team.model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": True,
        }
        url = f"http://{address}/v1/chat/completions"
        headers = {**team.headers, "x-deadline-s": "60"}
        async with self.client.stream("POST", url, json=body, headers=headers) as response:
            if response.status_code != 200:
                raise DemoFailed((await response.aread()).decode())
            async for line in response.aiter_lines():
                if line.startswith("event: error"):
                    raise DemoFailed("the stream ended with an error")
                if line.startswith("data: {"):
                    yield json.loads(line[6:])["choices"][0]["delta"]["content"]

    async def order(self) -> None:
        """Place an order and send it again through another entry."""
        team = self.files.ordering
        self.say(f"team {team.name} places an order through entry-1 and resends it through entry-5")
        first = await self.place("entry-1", "booklets-0417")
        again = await self.place("entry-5", "booklets-0417")
        self.say(f"   {first.status_code} {first.text}")
        same = (first.status_code, first.content) == (again.status_code, again.content)
        self.check("the resend gets the first outcome", first.status_code == 201 and same)
        self.check("the order service executed it once", self.orders_run() == 1)

    async def place(self, entry: str, key: str) -> httpx.Response:
        """Send an order with an idempotency key."""
        team = self.files.ordering
        path = f"/v1/services/{team.service}/orders"
        return await self.client.post(
            f"http://{self.deployment.entry(entry).address}{path}",
            json={"booklets": 80, "for": "Ada"},
            headers={**team.headers, "idempotency-key": key},
        )

    def executions(self, endpoint: str, event: str) -> list[dict[str, Any]]:
        """Return what an endpoint's own journal says."""
        path = self.deployment.journal(endpoint)
        lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
        return [line for line in map(json.loads, lines) if line["event"] == event]

    def orders_run(self) -> int:
        """Return how many orders all order services executed."""
        plain = [e.name for e in self.deployment.endpoints if e.plain]
        return sum(len(self.executions(name, "start")) for name in plain)

    async def drain_during_a_stream(self) -> None:
        """Drain the runner of a running stream by a file; it ends whole, and nothing new comes."""
        team = self.files.drafting
        prompt = "A long life summary"
        address = self.deployment.entry("entry-2").address
        texts: list[str] = []
        self.say(f"a draft of {LONG_TOKENS} tokens runs through entry-2")
        async with anyio.create_task_group() as tasks:
            before = self.begun()

            async def read() -> None:
                texts.append(await self.stream(address, team, prompt, LONG_TOKENS))

            tasks.start_soon(read)
            runner = await self.until("the draft runs", 5.0, lambda: self.newly_begun(before))
            self.say(f"draining its runner {runner} by applying a file")
            await self.apply(*self.files.draining(runner))
            await anyio.sleep(LEAVING_S)
            mark = len(self.executions(runner, "start"))
            self.say(f"12 short drafts after {LEAVING_S:.0f} s")
            for number in range(12):
                await self.stream(address, team, f"short {number}", 2)
            self.check(f"{runner} gets no new work", len(self.executions(runner, "start")) == mark)
        self.check("the long draft ended whole", texts == [answer_text(prompt, LONG_TOKENS)])
        cut = [e for e in self.executions(runner, "end") if e["outcome"] != "completed"]
        self.check(f"{runner} was cut off in nothing", not cut)

    def begun(self) -> dict[str, int]:
        """Return how many executions each engine began."""
        engines = [e.name for e in self.deployment.endpoints if not e.plain]
        return {name: len(self.executions(name, "start")) for name in engines}

    async def newly_begun(self, before: dict[str, int]) -> str:
        """Return the engine that began more since."""
        changed = [name for name, count in self.begun().items() if count > before[name]]
        return changed[0] if changed else ""

    def leader(self) -> str:
        """Return the process that was last elected leader, by the event files."""
        elected: list[tuple[str, str]] = []
        for path in (self.deployment.folder / "events").glob("entry-*.jsonl"):
            for line in path.read_text(encoding="utf-8").splitlines():
                if '"event":"leader_elected"' in line:
                    record = json.loads(line)
                    elected.append((record["stamp"], record["process"]))
        return max(elected)[1] if elected else ""

    async def lose_the_leader(self) -> None:
        """Kill the leading control VM during a stream; work, orders and changes go on."""
        leader = self.leader()
        if not leader:
            raise DemoFailed("no leader was elected")
        others = [e.name for e in self.deployment.entries if e.name != leader and e.voter]
        address = self.deployment.entry(others[0]).address
        texts: list[str] = []
        async with anyio.create_task_group() as tasks:

            async def read() -> None:
                prompt = "A draft beside the loss"
                texts.append(await self.stream(address, self.files.drafting, prompt, 160))

            tasks.start_soon(read)
            await anyio.sleep(0.5)
            self.say(f"killing {leader}, which leads the control group (kill -9)")
            self.deployment.fleet.send_signal(leader, signal.SIGKILL)
            began = time.monotonic()

            async def accepted() -> bool:
                return (await self.place(others[0], "booklets-0418")).status_code == 201

            await self.until("an order goes through", RECOVERY_S, accepted)
            self.check(f"orders go on after {time.monotonic() - began:.1f} s", True)
            await self.apply(*self.files.returning())
            self.check(f"changes go on after {time.monotonic() - began:.1f} s", True)
        again = await self.place("entry-5", "booklets-0417")
        self.check("the first order's outcome is still known", again.status_code == 201)
        self.check("each order was executed once", self.orders_run() == 2)
        whole = answer_text("A draft beside the loss", 160)
        self.check("the stream beside it ended whole", texts == [whole])
        await self.restart(leader)

    async def restart(self, name: str) -> None:
        """Start a killed entry again; it must catch up."""
        self.say(f"starting {name} again on its data folder")
        entry = self.deployment.entry(name)
        self.deployment.start_entry(entry)
        await self.answers(entry, "/readyz")
        self.check(f"{name} is back and confirmed", True)

    async def ask_live(self) -> None:
        """Ask the running entries for their events."""
        addresses = [entry.address for entry in self.deployment.entries]
        token = str(self.deployment.folder / ADMIN_TOKEN_FILE)
        command = ["timeline", *addresses, "--admin-token-file", token, "--event", "view_confirmed"]
        shown = await anyio.run_process([CLI, *command, "--output", "json"], check=False)
        told = {json.loads(line)["process"] for line in shown.stdout.splitlines()}
        known = {entry.name for entry in self.deployment.entries}
        self.check("a live time line of all 5 running entries", told == known)

    async def stop(self) -> None:
        """Stop everything in order."""
        self.say("stopping all processes (SIGTERM)")
        fleet = self.deployment.fleet
        ours = [e.name for e in self.deployment.entries]
        ours += [e.agent_name for e in self.deployment.endpoints]
        for name in ours:
            fleet.send_signal(name, signal.SIGTERM)
        codes = {name: await fleet.wait_end(name, 15.0) for name in ours}
        wrong = [name for name, code in codes.items() if code != 0]
        self.check("every process stopped in order, exit code 0", not wrong)
        if wrong:
            self.say(f"   not: {', '.join(f'{name} ({codes[name]})' for name in wrong)}")

    def summarise(self) -> None:
        """Print the end of the merged time line, and each check."""
        events = self.deployment.folder / "events"
        picture = self.deployment.folder / "timeline.html"
        command = [CLI, "timeline", str(events)]
        shown = subprocess.run(
            [*command, "--picture", str(picture)], capture_output=True, text=True, check=False
        )
        lines = shown.stdout.splitlines()
        self.check(f"the merged time line has {len(lines)} events", len(lines) > 0)
        print(f"\nMerged time line, the last {TIMELINE_LINES} of {len(lines)} events:")
        print("\n".join(line[:160] for line in lines[-TIMELINE_LINES:]))
        print(f"Whole: bergamotchute timeline {events.relative_to(ROOT)}")
        print(f"Picture: {picture.relative_to(ROOT)}\n\nSummary:")
        for text, held in self.checks:
            print(f"  {'ok  ' if held else 'FAIL'} {text}")


async def run_demo() -> bool:
    """Run everything; return whether each check held."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    with Fleet(FOLDER / "logs") as fleet:
        deployment = Deployment(fleet, FOLDER)
        files = DemoFiles(ROOT / "examples")
        deployment.plan(ZONES, 3, 2, list(files.endpoints))
        async with httpx.AsyncClient(timeout=30.0) as client:
            demo = Demo(deployment, files, client)
            try:
                await demo.run()
            except DemoFailed as error:
                demo.check(str(error), False)
        fleet.end_all()
        demo.check("no process is left behind", not fleet.left())
        demo.summarise()
    return all(held for _, held in demo.checks)


def main() -> int:
    """Run the demo; return the exit code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    try:
        return 0 if anyio.run(run_demo) else 1
    except KeyboardInterrupt:
        print("interrupted; all processes were ended", file=sys.stderr)
        return 130


if __name__ == "__main__":
    sys.exit(main())
