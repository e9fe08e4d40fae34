"""Faults from outside, drawn by seed: signals, restarts, crashes, series of configurations."""

from __future__ import annotations

import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import anyio
import anyio.to_thread

from tools.node_processes import Build, NodeProcesses
from tools.soak.clients import Caller, Operator
from tools.soak.endpoints import StandInEndpoint

CONTROL_COUNT = 5
ENTRY_COUNT = 3
MAX_OVERLAPPING = 2
MAX_CONTROL_OUT = 2
DEADLY_PROMPTS_S = 6.0
ENDPOINT_RESTART_S = 0.5


@dataclass
class Faults:
    """Injects faults that overlap, and repairs what it broke.

    :param injected: how often each kind was injected.
    """

    nodes: NodeProcesses
    build: Build
    operator: Operator
    callers: list[Caller]
    endpoints: list[StandInEndpoint]
    random: Random
    injected: Counter[str] = field(default_factory=Counter)
    busy: set[str] = field(default_factory=set)

    async def run(self, duration_s: float) -> None:
        """Inject faults in series for some time; return once all are repaired."""
        kinds: dict[str, Callable[[], Awaitable[None]]] = {
            "freeze a control VM": lambda: self._freeze(self._control()),
            "kill a control VM": lambda: self._restart(self._control(), in_order=False),
            "stop a control VM": lambda: self._restart(self._control(), in_order=True),
            "kill all control VMs": self._kill_all_control,
            "restart a control VM in short order": lambda: self._restart_often(self._control()),
            "restart a control VM beside a frozen one": self._restart_beside_frozen,
            "fill the disk of a control VM": lambda: self._fill_disk(self._control(), 6.0),
            "fill the disks of control VMs in turn": self._fill_disks_in_turn,
            "freeze an entry": lambda: self._freeze(self._entry()),
            "kill an entry": lambda: self._restart(self._entry(), in_order=False),
            "stop an entry": lambda: self._restart(self._entry(), in_order=True),
            "reload settings": self._reload,
            "crash an endpoint": self._crash_endpoint,
            "replace an endpoint": self._replace_endpoint,
            "deadly prompts": self._send_deadly_prompts,
            "storm of configurations": self._storm,
            "large configuration": self._large_configuration,
            "invalid configuration": self.operator.put_invalid,
            "other content under a version": self.operator.put_other_content,
        }
        end = anyio.current_time() + duration_s
        limiter = anyio.CapacityLimiter(MAX_OVERLAPPING)

        async def inject(kind: str) -> None:
            async with limiter:
                self.injected[kind] += 1
                await kinds[kind]()

        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < end:
                await anyio.sleep(self.random.uniform(0.2, 2.0))
                if limiter.available_tokens:
                    tasks.start_soon(inject, self.random.choice(sorted(kinds)))

    async def restart_endpoints(self) -> None:
        """Start the endpoints again that deadly prompts crashed, until cancelled."""
        while True:
            await anyio.sleep(ENDPOINT_RESTART_S)
            for endpoint in self.endpoints:
                if endpoint.scope.cancel_called and self._reserve(endpoint.name):
                    await endpoint.start()
                    self._release(endpoint.name)

    def _control(self) -> str:
        return f"control-{self.random.randrange(CONTROL_COUNT)}"

    def _entry(self) -> str:
        return f"entry-{self.random.randrange(ENTRY_COUNT)}"

    def _start(self, name: str) -> None:
        role, _, number = name.partition("-")
        if role == "control":
            self.nodes.start_control(int(number), self.build)
        else:
            host = self.nodes.entry_host(int(number))
            self.operator.incarnations[host] += 1
            incarnation = self.operator.incarnations[host]
            self.operator.history.entry_starts[host, incarnation] = time.monotonic()
            self.nodes.start_entry(int(number), self.build)

    def _reserve(self, name: str) -> bool:
        """Reserve a process for a fault; of the control VMs, two at a time."""
        controls = sum(each.startswith("control") for each in self.busy)
        if name in self.busy or (name.startswith("control") and controls >= MAX_CONTROL_OUT):
            return False
        self.busy.add(name)
        return True

    def _release(self, name: str) -> None:
        self.busy.discard(name)

    async def _freeze(self, name: str) -> None:
        if not self._reserve(name):
            return
        process = self.nodes.processes[name]
        process.send_signal(signal.SIGSTOP)
        try:
            await anyio.sleep(self.random.uniform(0.3, 6.0))
        finally:
            process.send_signal(signal.SIGCONT)
            self._release(name)

    async def _restart(self, name: str, in_order: bool) -> None:
        if not self._reserve(name):
            return
        await anyio.to_thread.run_sync(self.nodes.stop if in_order else self.nodes.kill, name)
        await anyio.sleep(self.random.uniform(0.1, 2.0))
        self._start(name)
        await anyio.sleep(2.0)
        self._release(name)

    async def _restart_often(self, name: str) -> None:
        if not self._reserve(name):
            return
        for _ in range(self.random.randint(2, 4)):
            await anyio.to_thread.run_sync(self.nodes.kill, name)
            self._start(name)
            await anyio.sleep(self.random.uniform(0.8, 3.0))
        self._release(name)

    async def _restart_beside_frozen(self) -> None:
        restarted, frozen = self.random.sample(range(CONTROL_COUNT), 2)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._restart_often, f"control-{restarted}")
            for _ in range(2):
                await anyio.sleep(self.random.uniform(0.5, 2.0))
                await self._freeze(f"control-{frozen}")

    async def _fill_disk(self, name: str, most_s: float) -> None:
        if not self._reserve(name):
            return
        self.nodes.fill_disk(name)
        await anyio.sleep(self.random.uniform(0.4, most_s))
        self.nodes.free_disk(name)
        self._release(name)

    async def _fill_disks_in_turn(self) -> None:
        for number in range(CONTROL_COUNT):
            await self._fill_disk(f"control-{number}", 1.5)

    async def _kill_all_control(self) -> None:
        names = [f"control-{number}" for number in range(CONTROL_COUNT)]
        if self.busy & set(names):
            return
        self.busy |= set(names)
        await anyio.to_thread.run_sync(self.nodes.kill, *names)
        await anyio.sleep(self.random.uniform(0.0, 1.0))
        for name in names:
            self._start(name)
        await anyio.sleep(4.0)
        self.busy -= set(names)

    async def _reload(self) -> None:
        for process in self.nodes.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGHUP)

    async def _crash_endpoint(self) -> None:
        endpoint = self.random.choice(self.endpoints)
        if not self._reserve(endpoint.name):
            return
        endpoint.crash()
        await anyio.sleep(self.random.uniform(0.2, 2.0))
        await endpoint.start()
        self._release(endpoint.name)

    async def _replace_endpoint(self) -> None:
        endpoint = self.random.choice(self.endpoints)
        if not self._reserve(endpoint.name):
            return
        with anyio.move_on_after(3.0):
            await endpoint.leave()
        await anyio.sleep(1.0)
        endpoint.crash()
        await anyio.sleep(0.5)
        await endpoint.start()
        self._release(endpoint.name)

    async def _send_deadly_prompts(self) -> None:
        for caller in self.callers:
            caller.deadly_share = 0.05
        await anyio.sleep(DEADLY_PROMPTS_S)
        for caller in self.callers:
            caller.deadly_share = 0.0

    async def _storm(self) -> None:
        for _ in range(self.random.randint(3, 10)):
            await self.operator.put_next(patience_s=2.0)

    async def _large_configuration(self) -> None:
        self.operator.extra_routes = self.random.randint(500, 2_000)
        await self.operator.put_next(patience_s=4.0)
        self.operator.extra_routes = 0
