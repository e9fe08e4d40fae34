"""Brings about the faults of a scenario."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from tools.proof.history import EndpointReturned, FaultBrought
from tools.proof.network import FOREVER_S, Disturbance
from tools.proof.scenario import Fault
from tools.proof.scenario_parser import LEADER
from tools.proof.world import World

DISTURBANCES = ("partition", "delay", "drop", "duplicate", "reorder")


@dataclass
class Faults:
    """Acts on one world.

    :param leaders: processes that were aimed at as the leader, so that they can be restarted.
    """

    world: World
    crashed_leader: str = ""

    async def bring(self, fault: Fault) -> None:
        """Bring about one fault of a scenario."""
        target = self.resolve(fault)
        if fault.kind == "restart":
            await self.restart(target)
        else:
            self.bring_now(fault, target)

    def bring_now(self, fault: Fault, target: str) -> None:
        """Bring about one fault at a process, before anything else happens."""
        self.world.history.add(FaultBrought(anyio.current_time(), target, fault.kind))
        match fault.kind:
            case "crash":
                self.world.kill(target, loses_unsynced=fault.loses_unsynced)
            case "stall":
                self.stall(target, fault.for_s)
            case "mute":
                self.world.network.mute(target)
            case "jump":
                self.world.processes[target].clock_ahead_us += round(fault.by_s * 1e6)
            case "lose_zone":
                self.lose_zone(target)
            case kind if kind in DISTURBANCES:
                self.disturb(fault, target)

    async def restart_later(self, name: str, after_s: float) -> None:
        """Start a process again after a while."""
        await anyio.sleep(after_s)
        await self.restart(name)

    def resolve(self, fault: Fault) -> str:
        """Return the process that a fault aims at."""
        if fault.target != LEADER:
            return fault.target
        if fault.kind == "restart":
            return self.crashed_leader
        self.crashed_leader = self.leader()
        return self.crashed_leader

    def leader(self) -> str:
        """Return the process that was last elected, or the first entry."""
        elected = [e.process for e in self.world.events if e.event == "leader_elected"]
        return elected[-1] if elected else self.world.scenario.entry_names[0]

    async def restart(self, name: str) -> None:
        """Start a process again."""
        if self.world.processes[name].tasks is None:
            await self.world.start_process(name)
            if name in self.world.groups:
                self.world.history.add(EndpointReturned(anyio.current_time(), name))

    def stall(self, name: str, for_s: float) -> None:
        """Let nothing in or out of a process for a while."""
        endpoint = self.world.processes[name].endpoint
        if endpoint is not None:
            endpoint.stall(for_s)
        self.disturb(Fault("partition", name, for_s=for_s), name)

    def lose_zone(self, zone: str) -> None:
        """Lose every VM of a zone at once, in silence."""
        lost = [p.name for p in self.world.processes.values() if p.zone == zone]
        for name in lost:
            self.world.network.disturb(Disturbance("partition", name, FOREVER_S))
        for name in lost:
            self.world.kill(name, silently=True)

    def disturb(self, fault: Fault, target: str) -> None:
        """Disturb the network around a process."""
        until_s = anyio.current_time() + (fault.for_s or FOREVER_S)
        self.world.network.disturb(
            Disturbance(fault.kind, target, until_s, fault.direction, fault.by_s)
        )
