"""The task beside one rank's engine: keeps its promises and passes messages down the tree."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from bergamotchute_daemon.control_client import ControlUnavailable
from bergamotchute_daemon.map_log import MapLog
from bergamotchute_daemon.on_demand_links import OnDemandLinks
from bergamotchute_daemon.rank_links import DialRank, RankLinks, fan_out
from bergamotchute_model.rank_messages import (
    ChangeId,
    ChangeRefused,
    FanOut,
    FetchMap,
    Gathered,
    MapData,
    RankAnswer,
    RankMessage,
    RankReport,
    RefusalReason,
    StepHeld,
)
from bergamotchute_policy.map_participant import (
    AdvanceFence,
    ClockTick,
    DiscardWeights,
    FenceAdvanced,
    LoadWeights,
    MapParticipant,
    MapRecordRead,
    ParticipantAction,
    ParticipantEvent,
    PermitSteps,
    ReplyToCoordinator,
    WeightLoadFinished,
)
from bergamotchute_wire.link import DialFailed, Link, LinkClosed

TICK_S = 0.1
REPORT_S = 5.0
FETCH_TIMEOUT_S = 5.0
FETCH_AGAIN_S = 1.0
MOST_ROUTES = 64
MOST_MAPS = 4
INBOX_MESSAGES = 256


class EngineUnreachable(Exception):
    """The engine did not answer; what it does now is unknown."""


class RankEngine(Protocol):
    """One rank's model engine, as far as expert maps go."""

    async def load_map(self, digest: str, data: bytes) -> bool:
        """Load the weights that a map needs beside those in use; ``False`` when it cannot.

        :raises EngineUnreachable: when the engine does not answer.
        """

    async def drop_map(self, digest: str) -> None:
        """Free what only this map needs."""

    async def guide(self, guide: PermitSteps) -> int:
        """Set which steps may begin and with which epoch, and keep to it until told otherwise.

        An engine that finds the peers of its group at a step, goes on there; one that finds none
        begins at the record's ``switch_step``.

        :returns: the newest step begun, read after the guidance took effect.
        :raises EngineUnreachable: when the engine does not answer.
        """

    async def report(self) -> RankReport | None:
        """Return how the rank runs; ``None`` when there is nothing to tell."""

    @property
    def begun(self) -> int:
        """The newest step begun, as far as is known."""


@dataclass
class RankAgent:
    """Runs one rank's part in map changes.

    The composition root hands it the engine, a way to dial its peers, and the group's log over
    the agent's control client; it serves the links of coordinators and of ranks above with
    :meth:`serve_link`, and calls :meth:`run` in its task group.

    :param new_incarnation: makes the name of a new life, unique over all.
    :param maps: encoded maps by digest: in use, before it, and staged.
    :param routes: for each fan-out, the link that its answers go back on.
    """

    group: str
    rank: int
    ranks: int
    engine: RankEngine
    log: MapLog
    dial: DialRank
    new_incarnation: Callable[[], str]
    core: MapParticipant = field(init=False)
    maps: OrderedDict[str, bytes] = field(default_factory=OrderedDict)
    routes: OrderedDict[int, Link[RankMessage]] = field(default_factory=OrderedDict)
    numbers: dict[ChangeId, int] = field(default_factory=dict)
    newest_number: int = 0
    reports: int = 0
    raising: bool = False

    def __post_init__(self) -> None:
        self.sender, self.receiver = anyio.create_memory_object_stream[
            tuple[int, ParticipantEvent]
        ](INBOX_MESSAGES)
        self._begin_life()

    def _begin_life(self) -> None:
        """Forget all promises; the rank joins anew."""
        self.core = MapParticipant(self.group, self.rank, self.new_incarnation(), self.engine.begun)

    async def run(self) -> None:
        """Keep the engine to the group's decisions until cancelled."""
        async with self.sender, self.receiver, anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.links: RankLinks = OnDemandLinks(tasks, self.dial, self.on_from_below)
            tasks.start_soon(self._tick)
            tasks.start_soon(self._report)
            async for number, event in self.receiver:
                await self._take(number, event)

    async def serve_link(self, link: Link[RankMessage]) -> None:
        """Serve a coordinator or a rank above in the tree until the link closes."""
        with suppress(LinkClosed):
            while True:
                message = await link.receive()
                if isinstance(message, FanOut):
                    await self.on_fan_out(link, message)
                elif isinstance(message, FetchMap):
                    data = self.maps.get(message.digest, b"")
                    await link.send(MapData(self.group, message.digest, data))

    async def on_fan_out(self, link: Link[RankMessage], message: FanOut) -> None:
        """Pass a message on to the ranks below and take it in."""
        self.routes[message.number] = link
        self.newest_number = message.number
        while len(self.routes) > MOST_ROUTES:
            self.routes.popitem(last=False)
        fan_out(self.links, message.number, message.message, message.subtree)
        await self.sender.send((message.number, message.message))

    async def on_from_below(self, message: RankMessage) -> None:
        """Pass answers of the ranks below on to where their question came from."""
        if isinstance(message, Gathered):
            await self._send_up(message)

    async def _send_up(self, message: Gathered) -> None:
        """Send answers up the tree; without a link they are lost, and asked for again."""
        link = self.routes.get(message.number)
        if link is None:
            return
        try:
            await link.send(message)
        except LinkClosed:
            self.routes.pop(message.number, None)

    async def _tick(self) -> None:
        """Tell the core of time and of what the view shows."""
        while True:
            logged = self.log.read()
            if logged is not None:
                await self.sender.send((0, MapRecordRead(logged)))
            await self.sender.send((0, ClockTick()))
            await anyio.sleep(TICK_S)

    async def _report(self) -> None:
        """Report to whoever spoke last, each rank at its own time."""
        await anyio.sleep(REPORT_S * self.rank / self.ranks)
        while True:
            with suppress(EngineUnreachable):
                report = await self.engine.report()
                if report is not None:
                    await self._send_up(Gathered(self.newest_number, (report,)))
            await anyio.sleep(REPORT_S)

    async def _take(self, number: int, event: ParticipantEvent) -> None:
        """Step the core and carry out what it says, in order."""
        self.core.newest_begun_step = max(self.core.newest_begun_step, self.engine.begun)
        joined = self.core.joined
        actions = self.core.step(event, anyio.current_time())
        late = False
        try:
            for action in actions:
                late = await self._carry_out(number, action, late=late)
        except EngineUnreachable:
            # What the engine keeps to is unknown, so nothing may be promised on its behalf.
            self._begin_life()
            return
        if self.core.joined and not joined:
            self.tasks.start_soon(self._fetch_missing)

    async def _carry_out(self, number: int, action: ParticipantAction, *, late: bool) -> bool:
        """Carry out one action; return whether the engine was found beyond its hold."""
        match action:
            case PermitSteps():
                return await self._guide(action)
            case LoadWeights(digest=digest, data=data):
                self._keep(digest, data)
                self.tasks.start_soon(self._load, digest, data)
            case DiscardWeights(digest=digest):
                self.maps.pop(digest, None)
                await self.engine.drop_map(digest)
            case AdvanceFence():
                if not self.raising:
                    self.raising = True
                    self.tasks.start_soon(self._raise_fence)
            case ReplyToCoordinator(answer=answer):
                await self._reply(number, self._true(answer, late=late))
        return late

    async def _guide(self, guide: PermitSteps) -> bool:
        """Guide the engine; return whether it had gone past the hold before it heard of it."""
        begun = await self.engine.guide(guide)
        self.core.newest_begun_step = max(self.core.newest_begun_step, begun)
        if guide.hold is None or guide.record is None:
            return False
        return begun + guide.abandons_step >= guide.hold

    def _true(self, answer: RankAnswer, *, late: bool) -> RankAnswer:
        """Take back a promise that the engine can no longer keep."""
        if not late or not isinstance(answer, StepHeld):
            return answer
        return ChangeRefused(
            self.group,
            answer.change,
            self.rank,
            answer.incarnation,
            RefusalReason.STEP_BEGUN,
            self.core.newest_begun_step,
        )

    async def _reply(self, number: int, answer: RankAnswer) -> None:
        """Send an answer where its question came from; loads are answered long after it."""
        change = getattr(answer, "change", None)
        if isinstance(change, ChangeId):
            if number:
                self.numbers = {change: number}
            number = number or self.numbers.get(change, 0)
        await self._send_up(Gathered(number, (answer,)))

    async def _load(self, digest: str, data: bytes) -> None:
        """Load weights; a failure is told, and tried again when the map is prepared again."""
        loaded = False
        with suppress(EngineUnreachable):
            loaded = await self.engine.load_map(digest, data)
        await self.sender.send((0, WeightLoadFinished(digest, loaded)))

    async def _raise_fence(self) -> None:
        """Take a fencing number in the group's scope."""
        try:
            with suppress(ControlUnavailable):
                number = await self.log.raise_fence()
                await self.sender.send((0, FenceAdvanced(number)))
        finally:
            self.raising = False

    def _keep(self, digest: str, data: bytes) -> None:
        """Keep a map for peers that ask for it."""
        self.maps[digest] = data
        self.maps.move_to_end(digest)
        while len(self.maps) > MOST_MAPS:
            self.maps.popitem(last=False)

    async def _fetch_missing(self) -> None:
        """Get the maps in force from peers and have the engine load them."""
        record = self.core.logged.record if self.core.logged is not None else None
        if record is None:
            return
        for digest in filter(None, (record.previous_digest, record.digest)):
            while digest not in self.maps:
                data = await self._fetch(digest)
                if data:
                    self._keep(digest, data)
                    with suppress(EngineUnreachable):
                        await self.engine.load_map(digest, data)
                    break
                if digest == record.previous_digest:
                    break
                await anyio.sleep(FETCH_AGAIN_S)

    async def _fetch(self, digest: str) -> bytes:
        """Ask one peer after the other for a map; empty when none has it."""
        for step in range(1, self.ranks):
            data = await fetch_map(self.dial, (self.rank + step) % self.ranks, self.group, digest)
            if data:
                return data
        return b""


async def fetch_map(dial: DialRank, rank: int, group: str, digest: str) -> bytes:
    """Ask a rank for a map; empty when it cannot be had there."""
    with suppress(DialFailed, LinkClosed), anyio.move_on_after(FETCH_TIMEOUT_S):
        async with dial(rank) as link:
            await link.send(FetchMap(group, digest))
            while True:
                message = await link.receive()
                if isinstance(message, MapData) and message.digest == digest:
                    return message.data
    return b""
